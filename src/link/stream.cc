#include "gooseberryturn/link/stream.h"

#include <nghttp2/nghttp2.h>

#include <utility>

#include "gooseberryturn/link/connection.h"

namespace gooseberryturn::link {

Stream::Stream(std::weak_ptr<Connection> connection, std::string path)
    : connection(std::move(connection)), request_path(std::move(path)) {}

void Stream::Send(std::string frame) {
  const std::shared_ptr<Connection> owner = this->connection.lock();
  if (this->closed || owner == nullptr) {
    return;
  }
  if (this->unsent_start == this->unsent.size()) {
    this->unsent = std::move(frame);
    this->unsent_start = 0;
  } else {
    this->unsent.append(frame);
  }
  owner->Resume(*this);
}

void Stream::Finish() {
  const std::shared_ptr<Connection> owner = this->connection.lock();
  if (this->closed || owner == nullptr) {
    return;
  }
  this->is_finishing = true;
  owner->Resume(*this);
}

void Stream::Cancel() {
  const std::shared_ptr<Connection> owner = this->connection.lock();
  if (!this->closed && owner != nullptr) {
    owner->Reset(*this, NGHTTP2_CANCEL);
  }
}

void Stream::Refuse() {
  const std::shared_ptr<Connection> owner = this->connection.lock();
  if (!this->closed && owner != nullptr) {
    owner->Reset(*this, NGHTTP2_REFUSED_STREAM);
  }
}

void Stream::Consume(std::size_t bytes) {
  const std::shared_ptr<Connection> owner = this->connection.lock();
  if (!this->closed && owner != nullptr) {
    owner->ConsumeWindow(*this, bytes);
  }
}

std::string Stream::peer() const {
  const std::shared_ptr<Connection> owner = this->connection.lock();
  return owner == nullptr ? std::string() : owner->peer();
}

}  // namespace gooseberryturn::link
