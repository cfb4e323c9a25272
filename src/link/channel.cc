#include "gooseberryturn/link/channel.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace gooseberryturn::link {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

Error LinkError(const Endpoint& peer, Step step, Outcome outcome,
                const std::string& message) {
  return {Reason::kLinkLost, step, outcome, ToString(peer), message};
}

/// State of a Call until its callback has run.
struct PendingCall {
  PendingCall(asio::io_context& context, Channel::OnReply on_reply)
      : timer(context), on_reply(std::move(on_reply)) {}

  void Complete(Result<std::string> result) {
    if (this->on_reply) {
      const Channel::OnReply callback = std::move(this->on_reply);
      this->on_reply = nullptr;
      this->timer.cancel();
      callback(std::move(result));
    }
  }

  asio::steady_timer timer;
  Channel::OnReply on_reply;
  std::shared_ptr<Stream> stream;
};

void SendMessage(const std::shared_ptr<PendingCall>& call, const Endpoint& peer,
                 const std::string& message) {
  call->stream->on_frame = [call](protocol::FrameType /*type*/,
                                  std::string_view payload) {
    call->Complete(std::string(payload));
  };
  call->stream->on_close = [call, peer](CloseReason reason) {
    const Outcome outcome =
        reason == CloseReason::kRefused ? Outcome::kNotRun : Outcome::kUnknown;
    const std::string text =
        "stream " + std::string(kCloseReasonNames.Name(reason));
    call->Complete(
        tl::make_unexpected(LinkError(peer, Step::kHandOver, outcome, text)));
    call->stream = nullptr;
  };
  call->stream->Send(
      protocol::EncodeFrame(protocol::FrameType::kMessage, message));
  call->stream->Finish();
}

}  // namespace

Channel::Channel(asio::io_context& context, Endpoint peer)
    : context(context), endpoint(std::move(peer)) {}

void Channel::Open(const std::string& path, OnOpen on_open) {
  const bool is_usable = this->connection != nullptr &&
                         this->connection->is_open() &&
                         !this->connection->is_going_away();
  if (is_usable) {
    const std::shared_ptr<Stream> stream = this->connection->Open(path);
    if (!stream->is_closed()) {
      on_open(stream);
      return;
    }
  }
  this->pending_opens.push_back({path, std::move(on_open)});
  this->Connect();
}

void Channel::Connect() {
  if (this->is_connecting) {
    return;
  }
  this->is_connecting = true;
  // The address may come from a peer, so an invalid one must not throw.
  error_code bad_address;
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(this->endpoint.address, bad_address),
      this->endpoint.port);
  if (bad_address) {
    this->is_connecting = false;
    this->FailPendingOpens(bad_address.message());
    return;
  }
  const std::shared_ptr<Channel> self = this->shared_from_this();
  const std::shared_ptr<asio::ip::tcp::socket> socket =
      std::make_shared<asio::ip::tcp::socket>(this->context);
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(this->context);
  timer->expires_after(kConnectTimeout);
  timer->async_wait([socket](const error_code& error) {
    if (!error) {
      error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(remote, [self, socket, timer](const error_code& error) {
    timer->cancel();
    self->is_connecting = false;
    if (error || !socket->is_open()) {
      self->FailPendingOpens(error ? error.message() : "connect timed out");
      return;
    }
    self->OnConnected(std::move(*socket));
  });
}

void Channel::OnConnected(asio::ip::tcp::socket socket) {
  this->connection =
      std::make_shared<Connection>(std::move(socket), Side::kClient);
  this->connection->Start();
  const std::vector<PendingOpen> opens = std::move(this->pending_opens);
  this->pending_opens.clear();
  for (const PendingOpen& pending_open : opens) {
    const std::shared_ptr<Stream> stream =
        this->connection->Open(pending_open.path);
    if (stream->is_closed()) {
      pending_open.on_open(tl::make_unexpected(
          LinkError(this->endpoint, Step::kConnect, Outcome::kNotRun,
                    "cannot open a stream")));
    } else {
      pending_open.on_open(stream);
    }
  }
}

void Channel::FailPendingOpens(const std::string& message) {
  const std::vector<PendingOpen> opens = std::move(this->pending_opens);
  this->pending_opens.clear();
  for (const PendingOpen& pending_open : opens) {
    pending_open.on_open(tl::make_unexpected(
        LinkError(this->endpoint, Step::kConnect, Outcome::kNotRun, message)));
  }
}

void Channel::Call(const std::string& path, std::string message,
                   TimePoint deadline, OnReply on_reply) {
  const std::shared_ptr<PendingCall> call =
      std::make_shared<PendingCall>(this->context, std::move(on_reply));
  const Endpoint peer = this->endpoint;
  call->timer.expires_after(deadline - Clock::now());
  call->timer.async_wait([call, peer](const error_code& error) {
    if (error) {
      return;
    }
    const Outcome outcome =
        call->stream == nullptr ? Outcome::kNotRun : Outcome::kUnknown;
    const std::shared_ptr<Stream> stream = call->stream;
    call->Complete(tl::make_unexpected(LinkError(
        peer, Step::kHandOver, outcome, "no reply before the deadline")));
    if (stream != nullptr) {
      stream->Cancel();
    }
  });
  this->Open(path, [call, peer, message = std::move(message)](
                       Result<std::shared_ptr<Stream>> opened) {
    if (!opened.has_value()) {
      call->Complete(tl::make_unexpected(opened.error()));
      return;
    }
    if (!call->on_reply) {
      (*opened)->Cancel();
      return;
    }
    call->stream = *opened;
    SendMessage(call, peer, message);
  });
}

void Channel::Close() {
  if (this->connection != nullptr) {
    this->connection->Close();
  }
}

std::shared_ptr<Channel> ChannelPool::Get(const Endpoint& peer) {
  std::shared_ptr<Channel>& channel = this->channels[ToString(peer)];
  if (channel == nullptr) {
    channel = std::make_shared<Channel>(this->context, peer);
  }
  return channel;
}

void ChannelPool::Close() {
  for (const std::pair<const std::string, std::shared_ptr<Channel>>& entry :
       this->channels) {
    entry.second->Close();
  }
}

}  // namespace gooseberryturn::link
