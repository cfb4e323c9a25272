#ifndef GOOSEBERRYTURN_REVIEW_HTTP_H_
#define GOOSEBERRYTURN_REVIEW_HTTP_H_

// Blocking HTTP/1.1 for the stand-ins of the review: one thread a connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Ms = std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

struct NoCase {
  bool operator()(const std::string& a, const std::string& b) const {
    return strcasecmp(a.c_str(), b.c_str()) < 0;
  }
};
using Headers = std::map<std::string, std::string, NoCase>;

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// A request or an answer.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  bool is_complete = false;  ///< Ended as its framing says.
  std::string Get(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string Path() const {
    const std::size_t start = first_line.find(' ') + 1;
    return first_line.substr(start, first_line.find(' ', start) - start);
  }
  int Status() const {
    return first_line.compare(0, 5, "HTTP/") == 0
               ? std::atoi(first_line.c_str() + first_line.find(' ') + 1)
               : 0;
  }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

inline void SetTimeout(int fd, Ms time) {
  timeval value{};
  value.tv_sec = time.count() / 1000;
  value.tv_usec = time.count() % 1000 * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

/// \returns -1 when there is no connection in time.
inline int Connect(const Address& to, Ms timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(fd, timeout);
  const sockaddr_in peer = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
      0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}

  /// \returns False when the connection ended or timed out before the end of
  /// the message; `message` then holds what came.
  bool Read(Message& message) {
    message = Message();
    std::string line;
    if (!this->ReadLine(message.first_line)) {
      return false;
    }
    while (this->ReadLine(line) && !line.empty()) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      std::size_t start = colon + 1;
      while (start < line.size() && line[start] == ' ') {
        ++start;
      }
      message.headers[line.substr(0, colon)] = line.substr(start);
    }
    if (this->has_ended) {
      return false;
    }
    if (strcasecmp(message.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      return this->ReadChunks(message);
    }
    std::size_t size =
        std::strtoul(message.Get("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < size && this->Fill()) {
    }
    size = std::min(size, this->buffer.size());
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    message.is_complete = !this->has_ended;
    return message.is_complete;
  }

 private:
  bool Fill() {
    char bytes[16384];
    const ssize_t count = recv(this->fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      this->has_ended = true;
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool ReadLine(std::string& line) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill()) {
        line = this->buffer;
        return false;
      }
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }
  bool ReadChunks(Message& message) {
    std::string line;
    while (this->ReadLine(line)) {
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      while (this->buffer.size() < size + 2 && this->Fill()) {
      }
      if (this->buffer.size() < size + 2) {
        return false;
      }
      message.body += this->buffer.substr(0, size);
      this->buffer.erase(0, size + 2);
      if (size == 0) {
        message.is_complete = true;
        return true;
      }
    }
    return false;
  }

  int fd;
  std::string buffer;
  bool has_ended = false;
};

inline std::string WriteRequest(const std::string& method,
                                const std::string& path, const Headers& headers,
                                const std::string& body) {
  std::string bytes = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& header : headers) {
    bytes += header.first + ": " + header.second + "\r\n";
  }
  if (!body.empty() || method == "POST" || method == "PUT") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

/// One request on a connection of its own, which is closed afterwards.
/// \returns The answer; its status is 0 when none came in time.
inline Message Call(const Address& to, const std::string& method,
                    const std::string& path, Headers headers,
                    const std::string& body, Ms timeout) {
  Message answer;
  const int fd = Connect(to, timeout);
  if (fd < 0) {
    return answer;
  }
  headers.emplace("Host", to.Text());
  if (SendAll(fd, WriteRequest(method, path, headers, body))) {
    Reader(fd).Read(answer);
  }
  close(fd);
  return answer;
}

/// Listens and serves each connection in a thread until the process ends.
class Server {
 public:
  using Serve = std::function<void(int fd, Reader& reader)>;

  /// Ends the process with status 2 when the address is not free.
  Server(const Address& address, Serve serve) : serve(std::move(serve)) {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in own = ToSockaddr(address);
    if (bind(this->fd, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) !=
            0 ||
        listen(this->fd, 512) != 0) {
      std::perror(("cannot listen at " + address.Text()).c_str());
      std::_Exit(2);
    }
    std::thread([this] { this->Accept(); }).detach();
  }

 private:
  void Accept() {
    for (;;) {
      const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, accepted] {
        Reader reader(accepted);
        this->serve(accepted, reader);
        close(accepted);
      }).detach();
    }
  }

  Serve serve;
  int fd = -1;
};

}  // namespace review

#endif  // GOOSEBERRYTURN_REVIEW_HTTP_H_
