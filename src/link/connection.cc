#include "gooseberryturn/link/connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberryturn::link {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::int32_t kConnectionWindowBytes = 1 << 30;
constexpr std::uint32_t kMaxStreams = 100'000;
constexpr std::size_t kWriteBatchBytes = 64U * 1024U;

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  nghttp2_nv header{};
  // nghttp2 copies both unless a flag says otherwise, and never writes to them.
  header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
  header.value =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  header.namelen = name.size();
  header.valuelen = value.size();
  header.flags = NGHTTP2_NV_FLAG_NONE;
  return header;
}

CloseReason CloseReasonOf(std::uint32_t code) {
  switch (code) {
    case NGHTTP2_NO_ERROR:
      return CloseReason::kFinished;
    case NGHTTP2_REFUSED_STREAM:
      return CloseReason::kRefused;
    case NGHTTP2_CANCEL:
      return CloseReason::kCancelled;
    default:
      return CloseReason::kLost;
  }
}

}  // namespace

/// \brief Callbacks for nghttp2; `user_data` is the connection.
struct ConnectionCallbacks {
  static Connection& Self(void* user_data) {
    return *static_cast<Connection*>(user_data);
  }

  static int OnBeginHeaders(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame, void* user_data) {
    Connection& self = Self(user_data);
    const bool is_request = frame->hd.type == NGHTTP2_HEADERS &&
                            frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (!is_request) {
      return 0;
    }
    const std::shared_ptr<Stream> stream =
        std::make_shared<Stream>(self.weak_from_this(), std::string());
    stream->id = frame->hd.stream_id;
    self.streams[stream->id] = stream;
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t /*flags*/, void* user_data) {
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::shared_ptr<Stream> stream =
        Self(user_data).FindStream(frame->hd.stream_id);
    if (stream != nullptr && key == ":path") {
      stream->request_path.assign(reinterpret_cast<const char*>(value),
                                  value_size);
    }
    return 0;
  }

  static int OnFrameReceived(nghttp2_session* /*session*/,
                             const nghttp2_frame* frame, void* user_data) {
    Connection& self = Self(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.going_away = true;
      return 0;
    }
    const std::shared_ptr<Stream> stream = self.FindStream(frame->hd.stream_id);
    if (stream == nullptr) {
      return 0;
    }
    const bool is_request = frame->hd.type == NGHTTP2_HEADERS &&
                            frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (is_request) {
      SubmitResponse(self, *stream);
      if (self.on_stream) {
        self.on_stream(stream);
      }
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
        (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
        stream->on_peer_end) {
      const std::function<void()> callback = stream->on_peer_end;
      callback();
    }
    return 0;
  }

  static int OnData(nghttp2_session* session, std::uint8_t /*flags*/,
                    std::int32_t id, const std::uint8_t* data, std::size_t size,
                    void* user_data) {
    Connection& self = Self(user_data);
    // The connection window is returned at once; only the stream windows limit
    // a sender whose receiver is slow.
    nghttp2_session_consume_connection(session, size);
    const std::shared_ptr<Stream> stream = self.FindStream(id);
    if (stream == nullptr) {
      return 0;
    }
    if (!stream->is_flow_control_manual) {
      nghttp2_session_consume_stream(session, id, size);
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const bool is_valid = stream->reader.Feed(
        bytes, [&stream](protocol::FrameType type, std::string_view payload) {
          if (!stream->closed && stream->on_frame) {
            // Copied, because the callback may replace itself while it runs.
            const std::function<void(protocol::FrameType, std::string_view)>
                callback = stream->on_frame;
            callback(type, payload);
          }
        });
    if (!is_valid) {
      self.Reset(*stream, NGHTTP2_PROTOCOL_ERROR);
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/, std::int32_t id,
                           std::uint32_t code, void* user_data) {
    Self(user_data).CloseStream(id, CloseReasonOf(code));
    return 0;
  }

  static ssize_t ReadUnsent(nghttp2_session* /*session*/, std::int32_t id,
                            std::uint8_t* buffer, std::size_t size,
                            std::uint32_t* flags,
                            nghttp2_data_source* /*source*/, void* user_data) {
    const std::shared_ptr<Stream> stream = Self(user_data).FindStream(id);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t copied = std::min(size, stream->unsent_bytes());
    std::memcpy(buffer, stream->unsent.data() + stream->unsent_start, copied);
    const bool was_above_low_water =
        stream->unsent_bytes() >= Stream::kLowWaterBytes;
    stream->unsent_start += copied;
    if (stream->unsent_bytes() == 0) {
      stream->unsent.clear();
      stream->unsent_start = 0;
    }
    if (stream->is_finishing && stream->unsent_bytes() == 0) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(copied);
    }
    if (copied == 0) {
      stream->is_deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    if (was_above_low_water &&
        stream->unsent_bytes() < Stream::kLowWaterBytes) {
      PostOnWritable(Self(user_data), stream);
    }
    return static_cast<ssize_t>(copied);
  }

  static void PostOnWritable(Connection& self,
                             const std::shared_ptr<Stream>& stream) {
    asio::post(self.socket.get_executor(), [stream] {
      if (!stream->closed && stream->on_writable) {
        const std::function<void()> callback = stream->on_writable;
        callback();
      }
    });
  }

  static void SubmitResponse(Connection& self, Stream& stream) {
    const std::array<nghttp2_nv, 1> headers = {MakeHeader(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = ReadUnsent;
    nghttp2_submit_response(self.session, stream.id, headers.data(),
                            headers.size(), &provider);
  }
};

Connection::Connection(asio::ip::tcp::socket socket, Side side)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      side(side),
      silence_deadline(Clock::now() + kSilenceTimeout) {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const asio::ip::tcp::endpoint remote = this->socket.remote_endpoint(ignored);
  this->peer_name =
      remote.address().to_string() + ":" + std::to_string(remote.port());
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, ConnectionCallbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(
      callbacks, ConnectionCallbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, ConnectionCallbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, ConnectionCallbacks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, ConnectionCallbacks::OnStreamClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxStreams);
  if (side == Side::kClient) {
    nghttp2_session_client_new2(&this->session, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&this->session, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 2> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
        static_cast<std::uint32_t>(kStreamWindowBytes)}}};
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

Connection::~Connection() { nghttp2_session_del(this->session); }

void Connection::Start() {
  this->Read();
  this->Flush();
  this->ScheduleKeepAlive();
}

std::shared_ptr<Stream> Connection::Open(const std::string& path) {
  const std::shared_ptr<Stream> stream =
      std::make_shared<Stream>(this->weak_from_this(), path);
  const std::array<nghttp2_nv, 4> headers = {
      MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
      MakeHeader(":authority", "g"), MakeHeader(":path", path)};
  nghttp2_data_provider provider{};
  provider.read_callback = ConnectionCallbacks::ReadUnsent;
  stream->id = nghttp2_submit_request(this->session, nullptr, headers.data(),
                                      headers.size(), &provider, nullptr);
  if (stream->id < 0) {
    stream->closed = true;
    return stream;
  }
  this->streams[stream->id] = stream;
  this->Flush();
  return stream;
}

void Connection::GoAway() {
  if (!this->opened) {
    return;
  }
  const std::int32_t last =
      nghttp2_session_get_last_proc_stream_id(this->session);
  nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE, last,
                        NGHTTP2_NO_ERROR, nullptr, 0);
  this->Flush();
}

void Connection::Close() {
  if (!this->opened) {
    return;
  }
  this->opened = false;
  error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
  const std::map<std::int32_t, std::shared_ptr<Stream>> open_streams =
      this->streams;
  for (const std::pair<const std::int32_t, std::shared_ptr<Stream>>& entry :
       open_streams) {
    this->CloseStream(entry.first, CloseReason::kLost);
  }
  if (this->on_close) {
    const std::function<void()> callback = std::move(this->on_close);
    this->on_close = nullptr;
    callback();
  }
}

std::shared_ptr<Stream> Connection::FindStream(std::int32_t id) const {
  const auto found = this->streams.find(id);
  return found == this->streams.end() ? nullptr : found->second;
}

void Connection::CloseStream(std::int32_t id, CloseReason reason) {
  const std::shared_ptr<Stream> stream = this->FindStream(id);
  if (stream == nullptr) {
    return;
  }
  this->streams.erase(id);
  stream->closed = true;
  if (stream->on_close) {
    const std::function<void(CloseReason)> callback =
        std::move(stream->on_close);
    stream->on_close = nullptr;
    callback(reason);
  }
  // Callbacks often hold a shared pointer to their own stream. Clearing them
  // breaks that cycle; it is posted because one of them may be running now.
  asio::post(this->socket.get_executor(), [stream] {
    stream->on_frame = nullptr;
    stream->on_peer_end = nullptr;
    stream->on_writable = nullptr;
    stream->on_close = nullptr;
  });
}

void Connection::Read() {
  const std::shared_ptr<Connection> self = this->shared_from_this();
  this->socket.async_read_some(
      asio::buffer(this->input),
      [self](const error_code& error, std::size_t size) {
        if (error || !self->opened) {
          self->Close();
          return;
        }
        self->silence_deadline = Clock::now() + kSilenceTimeout;
        const std::uint8_t* bytes =
            reinterpret_cast<const std::uint8_t*>(self->input.data());
        self->is_in_callback = true;
        const ssize_t used =
            nghttp2_session_mem_recv(self->session, bytes, size);
        self->is_in_callback = false;
        if (used < 0 || !self->opened) {
          self->Close();
          return;
        }
        self->Flush();
        self->Read();
      });
}

void Connection::Flush() {
  if (this->is_in_callback || this->is_writing || !this->opened) {
    return;
  }
  this->Write();
}

void Connection::Write() {
  this->output.clear();
  this->is_in_callback = true;
  while (this->output.size() < kWriteBatchBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
    if (size <= 0) {
      break;
    }
    this->output.append(reinterpret_cast<const char*>(bytes),
                        static_cast<std::size_t>(size));
  }
  this->is_in_callback = false;
  if (this->output.empty()) {
    const bool is_done = nghttp2_session_want_read(this->session) == 0 &&
                         nghttp2_session_want_write(this->session) == 0;
    if (is_done) {
      this->Close();
    }
    return;
  }
  this->is_writing = true;
  const std::shared_ptr<Connection> self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->output),
                    [self](const error_code& error, std::size_t /*size*/) {
                      self->is_writing = false;
                      if (error || !self->opened) {
                        self->Close();
                        return;
                      }
                      self->Write();
                    });
}

void Connection::ScheduleKeepAlive() {
  this->timer.expires_after(kPingInterval);
  const std::shared_ptr<Connection> self = this->shared_from_this();
  this->timer.async_wait([self](const error_code& error) {
    if (error || !self->opened) {
      return;
    }
    if (self->streams.empty()) {
      self->silence_deadline = Clock::now() + kSilenceTimeout;
    } else if (Clock::now() > self->silence_deadline) {
      self->Close();
      return;
    } else if (self->side == Side::kClient) {
      nghttp2_submit_ping(self->session, NGHTTP2_FLAG_NONE, nullptr);
      self->Flush();
    }
    self->ScheduleKeepAlive();
  });
}

void Connection::Resume(Stream& stream) {
  if (stream.is_deferred) {
    stream.is_deferred = false;
    nghttp2_session_resume_data(this->session, stream.id);
  }
  this->Flush();
}

void Connection::ConsumeWindow(Stream& stream, std::size_t bytes) {
  nghttp2_session_consume_stream(this->session, stream.id, bytes);
  this->Flush();
}

void Connection::Reset(Stream& stream, std::uint32_t code) {
  nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream.id, code);
  const std::shared_ptr<Connection> self = this->shared_from_this();
  const std::int32_t id = stream.id;
  asio::post(this->socket.get_executor(),
             [self, id, code] { self->CloseStream(id, CloseReasonOf(code)); });
  this->Flush();
}

}  // namespace gooseberryturn::link
