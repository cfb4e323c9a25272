#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_flow.h"

namespace gooseberryturn::direct {

namespace {

constexpr unsigned kMisdirected = 421;

}  // namespace

void RequestFlow::MeterBegin(TimePoint now) {
  const bool is_plain = this->route->kind != RouteKind::kStreaming;
  if (this->entry.usage_meter.has_value() && is_plain &&
      this->team != nullptr) {
    this->entry.usage_meter->BeginAttempt(this->flow_id, this->team->name, now);
  }
}

void RequestFlow::MeterFirstEvent(TimePoint now) {
  if (this->entry.usage_meter.has_value() && this->team != nullptr) {
    this->entry.usage_meter->RecordFirstEvent(this->flow_id, this->team->name,
                                              now);
  }
}

void RequestFlow::MeterEnd(ExchangeEnd end, const TargetConnection* used) {
  if (!this->entry.usage_meter.has_value()) {
    return;
  }
  bool has_begun = false;
  if (end == ExchangeEnd::kComplete) {
    const HeaderNames& names = this->entry.dialect.headers;
    has_begun = this->answer_head.result_int() != kMisdirected &&
                this->answer_head[names.not_executed].empty();
  } else {
    // Without an answer the target may have begun once it had all of it.
    has_begun = used != nullptr && used->is_request_sent();
  }
  this->entry.usage_meter->EndAttempt(this->flow_id, has_begun);
}

}  // namespace gooseberryturn::direct
