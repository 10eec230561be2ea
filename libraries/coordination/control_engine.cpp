#include "coltsfootlock/coordination/control_engine.h"

#include "control_core.h"

#include <utility>

namespace coltsfootlock {

struct control_engine::implementation
{
  explicit implementation(control_core value)
    : core(std::move(value))
  {
  }

  control_core core;
};

control_engine::control_engine(control_identity identity, timing times, instant now)
  : implementation_(std::make_unique<implementation>(control_core(std::move(identity), times, now)))
{
}

control_engine::~control_engine() = default;
control_engine::control_engine(control_engine&&) noexcept = default;

std::vector<control_action>
control_engine::on_heartbeat(const heartbeat& message, instant now)
{
  return implementation_->core.on_heartbeat(message, now);
}

std::vector<control_action>
control_engine::on_catalogue(std::shared_ptr<const catalogue> value, bool from_platform, instant now)
{
  return implementation_->core.on_catalogue(std::move(value), from_platform, now);
}

std::vector<control_action>
control_engine::on_vm_list(std::shared_ptr<const vm_list> value, bool from_platform, instant now)
{
  return implementation_->core.on_vm_list(std::move(value), from_platform, now);
}

std::vector<control_action>
control_engine::on_platform_unchanged(published_record record, std::uint64_t version, instant now)
{
  return implementation_->core.on_platform_unchanged(record, version, now);
}

std::vector<control_action>
control_engine::on_read_failed(published_record record, const error& reason, instant now)
{
  return implementation_->core.on_read_failed(record, reason, now);
}

std::vector<control_action>
control_engine::on_fetch_failed(published_record record, const vm_id& peer, const error& reason, instant now)
{
  return implementation_->core.on_fetch_failed(record, peer, reason, now);
}

std::vector<control_action>
control_engine::on_flows_pulled(const vm_id& peer, bool complete, instant now)
{
  return implementation_->core.on_flows_pulled(peer, complete, now);
}

std::vector<control_action>
control_engine::on_target_report(const vm_id& target, const target_report& report, bool shed, instant now)
{
  return implementation_->core.on_target_report(target, report, shed, now);
}

void
control_engine::on_capacity(std::vector<group_capacity> capacity)
{
  implementation_->core.on_capacity(std::move(capacity));
}

std::vector<control_action>
control_engine::begin_leaving(instant now)
{
  return implementation_->core.begin_leaving(now);
}

std::vector<control_action>
control_engine::on_traffic_finished(instant now)
{
  return implementation_->core.on_traffic_finished(now);
}

std::vector<control_action>
control_engine::tick(instant now)
{
  return implementation_->core.tick(now);
}

std::shared_ptr<const routing_view>
control_engine::view() const
{
  return implementation_->core.view();
}

bool
control_engine::serving() const
{
  return implementation_->core.serving();
}

std::optional<error>
control_engine::last_reason() const
{
  return implementation_->core.last_reason();
}

}
