#include "coltsfootlock/protocol/relay_codec.h"

#include "bounded_json.h"
#include "coltsfootlock/protocol/json_fields.h"
#include "json_row.h"
#include "load_field.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <utility>

namespace coltsfootlock {

namespace {

using nlohmann::json;

constexpr std::size_t max_elements = 100000;
constexpr std::size_t max_text_bytes = 1024;
constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();
constexpr std::uint32_t max_small_number = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint16_t max_port = std::numeric_limits<std::uint16_t>::max();

std::string
to_bytes(const json& value)
{
  std::string bytes;
  json::to_msgpack(value, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

/// Levels of arrays and maps in a message of another daemon; twice what the largest one has.
constexpr std::size_t max_nesting = 16;

/// The value of MessagePack bytes; null if they are malformed.
template<typename Bytes>
json
parse_messagepack(const Bytes& bytes)
{
  json value;
  bounded_json_builder builder(value, max_nesting);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::msgpack, true)) {
    return nullptr;
  }
  return value;
}

json
from_bytes(std::string_view bytes, error& why)
{
  json value = parse_messagepack(bytes);
  if (!value.is_object()) {
    why = { error_kind::syntax, "the answer of the other daemon is no MessagePack map" };
  }
  return value;
}

/// A table of strings that many records share, so that each is sent once.
class shared_names
{
public:
  std::size_t position_of(const std::string& name)
  {
    const auto [found, is_new] = positions_.try_emplace(name, positions_.size());
    if (is_new) {
      names_.push_back(name);
    }
    return found->second;
  }

  json take() { return std::move(names_); }

private:
  json names_ = json::array();
  std::map<std::string, std::size_t> positions_;
};

/// Adds the era to a change that is a map. A daemon of an older version ignores it.
json
with_era(json change, const store_position& position)
{
  change["era"] = position.era;
  return change;
}

/// Targets are encoded as rows without field names: a large domain has thousands of them, and each daemon fetches all
/// of them at its start.
json
encode_target(const target_record& target, const store_position& position, shared_names& names)
{
  return json::array({ position.revision,
                       target.vm.id,
                       names.position_of(target.vm.domain),
                       names.position_of(target.vm.target_group),
                       target.vm.packet_address.address,
                       target.vm.packet_address.port,
                       target.vm.incarnation,
                       target.tag,
                       target.slots,
                       target.vm.leaving,
                       static_cast<std::uint64_t>(target.warm_up_left.count()),
                       target.sequence,
                       position.era });
}

/// Services are rows as well, since the whole catalogue is sent to each follower whenever it changes. The groups and
/// weights of a split follow the other elements. Many services share an address, so it is a name.
json
encode_service(const service& value, shared_names& names)
{
  json row = json::array({ value.name,
                           names.position_of(std::to_string(value.address.address)),
                           value.address.port,
                           names.position_of(value.target_group),
                           static_cast<unsigned>(value.urgency),
                           value.request_timeout_ms,
                           value.idempotent });
  for (const group_weight& part : value.split) {
    row.push_back(names.position_of(part.target_group));
    row.push_back(part.weight);
  }
  return row;
}

/// Latency goals by position of the service; null if there are none. Not part of the rows, whose number of elements is
/// fixed for daemons of the previous version, which ignore fields that they do not know.
json
encode_latency_goals(const std::vector<service>& services)
{
  json goals = json::array();
  bool any = false;
  for (const service& entry : services) {
    goals.push_back(entry.latency_goal_ms);
    any = any || entry.latency_goal_ms > 0;
  }
  return any ? goals : json();
}

/// Positions of the services of unknown urgency; null if there are none.
json
encode_unknown_urgency(const std::vector<service>& services)
{
  json positions;
  for (std::size_t position = 0; position < services.size(); ++position) {
    if (!services[position].urgency_known) {
      positions.push_back(position);
    }
  }
  return positions;
}

struct content_encoder
{
  const store_position& position;
  shared_names& names;

  json operator()(const target_published& content) const { return encode_target(content.target, position, names); }
  json operator()(const target_removed& content) const
  {
    return { { "revision", position.revision }, { "kind", "removed" }, { "id", content.id } };
  }
  json operator()(const target_unreadable& content) const
  {
    return { { "revision", position.revision },
             { "kind", "unreadable" },
             { "id", content.id },
             { "reason", content.why.message } };
  }
  json operator()(const catalogue_published& content) const
  {
    json services = json::array();
    for (const service& entry : content.value->services) {
      services.push_back(encode_service(entry, names));
    }
    json rates = json::array();
    for (const cold_start_rate& rate : content.value->cold_starts) {
      rates.push_back({ { "group", rate.target_group }, { "opens_per_second", rate.opens_per_second } });
    }
    json result = { { "revision", position.revision },     { "kind", "catalogue" },
                    { "version", content.value->version }, { "flow_idle_ms", content.value->flow_idle_ms },
                    { "services", std::move(services) },   { "cold_starts", std::move(rates) } };
    if (json goals = encode_latency_goals(content.value->services); !goals.is_null()) {
      result["latency_goals_ms"] = std::move(goals);
    }
    if (json positions = encode_unknown_urgency(content.value->services); !positions.is_null()) {
      result["unknown_urgency"] = std::move(positions);
    }
    return result;
  }
  json operator()(const catalogue_unreadable& content) const
  {
    return { { "revision", position.revision }, { "kind", "unreadable_catalogue" }, { "reason", content.why.message } };
  }
  json operator()(const domain_switched& content) const
  {
    return { { "revision", position.revision },
             { "kind", "domain" },
             { "domain", content.domain },
             { "in_service", content.in_service } };
  }
};

/// The era of a change or response; 0 if a daemon of an older version states none.
std::uint64_t
read_era(json_fields& fields, const json& content)
{
  return content.contains("era") ? fields.number("era", 0, max_number) : 0;
}

record_change
decode_target(const json& content, const json& names, error& why)
{
  json_row row(content, names, why);
  record_change result;
  target_record target;
  result.position.revision = row.number(0, max_number);
  target.vm.id = row.text(max_text_bytes);
  target.vm.domain = row.named(max_text_bytes);
  target.vm.target_group = row.named(max_text_bytes);
  target.vm.packet_address.address = static_cast<std::uint32_t>(row.number(0, max_small_number));
  target.vm.packet_address.port = static_cast<std::uint16_t>(row.number(0, max_port));
  target.vm.load_address = target.vm.packet_address;
  target.vm.incarnation = row.number(0, max_number);
  target.tag = row.number(0, std::numeric_limits<std::uint64_t>::max());
  target.slots = static_cast<std::uint32_t>(row.number(0, max_small_number));
  target.vm.leaving = row.flag();
  target.warm_up_left = milliseconds(static_cast<milliseconds::rep>(row.number(0, max_number)));
  if (!row.at_end()) { // A daemon of an older version states neither.
    target.sequence = row.number(0, max_number);
    result.position.era = row.number(0, max_number);
  }
  result.content = target_published{ std::move(target) };
  return result;
}

service
decode_service(const json& content, const json& names, error& why)
{
  json_row row(content, names, why);
  service result;
  result.name = row.text(max_text_bytes);
  result.address.address = row.named_number();
  result.address.port = static_cast<std::uint16_t>(row.number(0, max_port));
  result.target_group = row.named(max_text_bytes);
  result.urgency = static_cast<service_class>(row.number(0, service_class_count - 1));
  result.request_timeout_ms = static_cast<std::uint32_t>(row.number(0, max_small_number));
  result.idempotent = row.flag();
  while (!row.at_end()) {
    const std::string group = row.named(max_text_bytes);
    result.split.push_back({ group, static_cast<std::uint32_t>(row.number(0, max_small_number)) });
  }
  return result;
}

/// Empty with the reason in `why` if the services are not a list of rows.
std::vector<service>
decode_services(const json& content, const json& names, error& why)
{
  std::vector<service> result;
  const auto list = content.find("services");
  if (list == content.end() || !list->is_array() || list->size() > max_elements) {
    why = { error_kind::wrong_type, "services must be a list of rows; update the daemon" };
    return result;
  }
  result.reserve(list->size());
  for (const json& row : *list) {
    if (!row.is_array()) {
      why = { error_kind::wrong_type, "a service must be a row; update the daemon" };
    }
    if (why.kind != error_kind::none) {
      return {};
    }
    result.push_back(decode_service(row, names, why));
  }
  return result;
}

/// Reads a list of numbers below `limit` for at most all services; empty if a daemon of the previous version sent none.
std::vector<std::uint32_t>
decode_numbers(const json& content, const char* field, std::size_t max_size, std::uint64_t limit, error& why)
{
  std::vector<std::uint32_t> result;
  const auto list = content.find(field);
  if (list == content.end() || why.kind != error_kind::none) {
    return result;
  }
  if (!list->is_array() || list->size() > max_size) {
    why = { error_kind::wrong_type, std::string(field) + " must be a list for the services; update the daemon" };
    return result;
  }
  for (const json& number : *list) {
    if (!number.is_number_unsigned() || number.get<std::uint64_t>() >= limit) {
      why = { error_kind::out_of_range, std::string(field) + " has a number out of range; update the daemon" };
      return {};
    }
    result.push_back(number.get<std::uint32_t>());
  }
  return result;
}

constexpr std::uint64_t latency_goal_limit_ms = 3600 * 1000;

/// Adds what the rows of services do not have.
void
decode_urgency(const json& content, std::vector<service>& services, error& why)
{
  const std::size_t count = services.size();
  const auto goals = decode_numbers(content, "latency_goals_ms", count, latency_goal_limit_ms, why);
  for (std::size_t position = 0; position < goals.size(); ++position) {
    services[position].latency_goal_ms = goals[position];
  }
  for (const std::uint32_t position : decode_numbers(content, "unknown_urgency", count, count, why)) {
    services[position].urgency_known = false;
  }
}

catalogue_published
decode_catalogue(json_fields& fields, const json& content, const json& names, error& why)
{
  auto value = std::make_shared<catalogue>();
  value->version = fields.number("version", 0, max_number);
  value->flow_idle_ms = fields.small_number("flow_idle_ms", 0, max_small_number);
  value->services = decode_services(content, names, why);
  decode_urgency(content, value->services, why);
  std::size_t position = 0;
  fields.each("cold_starts", max_elements, [&](json_fields& entry) {
    const json& item = content["cold_starts"][position++];
    const auto rate = item.find("opens_per_second");
    if (rate == item.end() || !rate->is_number()) {
      entry.fail(error_kind::missing_field, "opens_per_second", "must be a number");
      return;
    }
    value->cold_starts.push_back({ entry.text("group", max_text_bytes), rate->get<double>() });
  });
  return { std::move(value) };
}

record_change
decode_change(json_fields& fields, const json& content, const json& names, error& why)
{
  record_change result;
  result.position = { read_era(fields, content), fields.number("revision", 0, max_number) };
  const std::string kind = fields.text("kind", max_text_bytes);
  if (kind == "removed") {
    result.content = target_removed{ fields.text("id", max_text_bytes) };
  } else if (kind == "unreadable") {
    result.content = target_unreadable{ fields.text("id", max_text_bytes),
                                        { error_kind::syntax, fields.text("reason", max_text_bytes) } };
  } else if (kind == "catalogue") {
    result.content = decode_catalogue(fields, content, names, why);
  } else if (kind == "unreadable_catalogue") {
    result.content = catalogue_unreadable{ { error_kind::syntax, fields.text("reason", max_text_bytes) } };
  } else if (kind == "domain") {
    result.content = domain_switched{ fields.text("domain", max_text_bytes), fields.flag("in_service") };
  } else {
    fields.fail(error_kind::unknown_name, "kind", "is \"" + kind + "\"; update the daemon");
  }
  return result;
}

bool
decode_changes(const json& records, std::vector<record_change>& changes, error& why)
{
  if (!records.is_array() || records.size() != 2 || !records[0].is_array() || !records[1].is_array() ||
      records[1].size() > max_elements) {
    why = { error_kind::wrong_type, "changes must be names and a list of records; update the daemon" };
    return false;
  }
  const json& names = records[0];
  changes.reserve(records[1].size());
  for (const json& content : records[1]) {
    if (content.is_array()) {
      changes.push_back(decode_target(content, names, why));
    } else if (content.is_object()) {
      json_fields fields(content, "changes", why);
      changes.push_back(decode_change(fields, content, names, why));
    } else {
      why = { error_kind::wrong_type, "changes must be rows and maps; update the daemon" };
    }
    if (why.kind != error_kind::none) {
      return false;
    }
  }
  return true;
}

/// Appends the observations of one kind; a daemon of a previous version sends none, or none of this kind.
void
decode_observation_rows(const json& content,
                        const char* name,
                        observation_kind kind,
                        std::vector<target_observation>& result,
                        error& why)
{
  const auto rows = content.find(name);
  if (rows == content.end()) {
    return;
  }
  if (!rows->is_array() || rows->size() > max_elements) {
    why = { error_kind::wrong_type, std::string(name) + " must be a list of rows; update the daemon" };
    return;
  }
  const json no_names = json::array();
  for (const json& content_row : *rows) {
    if (!content_row.is_array()) {
      why = { error_kind::wrong_type, std::string("an element of ") + name + " must be a row; update the daemon" };
    }
    if (why.kind != error_kind::none) {
      return;
    }
    json_row row(content_row, no_names, why);
    target_observation one;
    one.kind = kind;
    one.target = row.text(max_text_bytes);
    one.incarnation = row.number(0, max_number);
    one.age = milliseconds(static_cast<milliseconds::rep>(row.number(0, max_number)));
    result.push_back(std::move(one));
  }
}

observation_list
decode_observations(const json& content, json_fields& fields, error& why)
{
  observation_list result;
  if (content.contains("lost") || content.contains("alive")) {
    result.newest = fields.number("newest_lost", 0, max_number);
  }
  decode_observation_rows(content, "lost", observation_kind::lost, result.observations, why);
  decode_observation_rows(content, "alive", observation_kind::alive, result.observations, why);
  return result;
}

/// Decodes the common part of lists and changes; false with the reason in `why` if the bytes cannot be parsed.
bool
decode(std::string_view bytes,
       std::vector<record_change>& changes,
       store_position& position,
       response_age& age,
       observation_list& observations,
       std::optional<load_totals>& loads,
       error& why)
{
  json content = from_bytes(bytes, why);
  if (why.kind != error_kind::none) {
    return false;
  }
  const auto encoded = content.find("changes");
  if (encoded == content.end() || !encoded->is_binary()) {
    why = { error_kind::wrong_type, "changes must be bytes; update the daemon" };
    return false;
  }
  const auto& inner = encoded->get_binary();
  const json records = parse_messagepack(inner);
  json_fields fields(content, "", why);
  position = { read_era(fields, content), fields.number("revision", 0, max_number) };
  age.records = milliseconds(static_cast<milliseconds::rep>(fields.number("age_ms", 0, max_number)));
  age.outage_grace_left = milliseconds(static_cast<milliseconds::rep>(fields.number("settle_ms", 0, max_number)));
  if (content.contains("domain_lag_ms")) {
    age.domain_lag = milliseconds(static_cast<milliseconds::rep>(fields.number("domain_lag_ms", 0, max_number)));
  }
  observations = decode_observations(content, fields, why);
  if (fields.ok()) {
    loads = decode_load_field(content, why);
  }
  if (!fields.ok() || !decode_changes(records, changes, why)) {
    return false;
  }
  const std::uint64_t era = position.era;
  if (std::any_of(
        changes.begin(), changes.end(), [era](const record_change& change) { return change.position.era > era; })) {
    why = { error_kind::conflict, "a change is of a higher era than the answer; update the daemon" };
    return false;
  }
  return true;
}

}

std::string
encode_changes(const std::vector<record_change>& changes)
{
  shared_names names;
  json list = json::array();
  for (const record_change& change : changes) {
    json encoded = std::visit(content_encoder{ change.position, names }, change.content);
    list.push_back(encoded.is_object() ? with_era(std::move(encoded), change.position) : std::move(encoded));
  }
  return to_bytes(json::array({ names.take(), std::move(list) }));
}

std::string
encode_response(const std::string& changes,
                const store_position& position,
                const response_age& age,
                const observation_list& observations,
                const std::optional<encoded_loads>& loads)
{
  json lost = json::array();
  json alive = json::array();
  for (const target_observation& one : observations.observations) {
    json& rows = one.kind == observation_kind::alive ? alive : lost;
    rows.push_back({ one.target, one.incarnation, one.age.count() });
  }
  json response{ { "era", position.era },
                 { "revision", position.revision },
                 { "age_ms", age.records.count() },
                 { "settle_ms", age.outage_grace_left.count() },
                 { "lost", std::move(lost) },
                 { "alive", std::move(alive) },
                 { "newest_lost", observations.newest },
                 { "changes", json::binary({ changes.begin(), changes.end() }) } };
  if (age.domain_lag > milliseconds(0)) {
    response["domain_lag_ms"] = age.domain_lag.count();
  }
  if (loads) {
    response["load"] = encode_load_field(*loads);
  }
  return to_bytes(response);
}

record_response
decode_page(std::string_view bytes)
{
  record_page page;
  std::optional<load_totals> loads; // The next watch returns them as well.
  error why;
  if (!decode(bytes, page.records, page.position, page.age, page.observations, loads, why)) {
    return call_failed{ why };
  }
  return page;
}

record_response
decode_events(std::string_view bytes)
{
  record_events events;
  error why;
  if (!decode(bytes, events.changes, events.position, events.age, events.observations, events.loads, why)) {
    return call_failed{ why };
  }
  return events;
}

std::string
encode_member_list(const member_list& response)
{
  json list = json::array();
  for (const fleet_member& member : response.members) {
    list.push_back({ { "id", member.id },
                     { "domain", member.domain },
                     { "address", to_string(member.call_address) },
                     { "link_kbps", member.link_kbps } });
  }
  return to_bytes({ { "members", std::move(list) }, { "daemons", response.daemons_in_domain } });
}

std::optional<member_list>
decode_member_list(std::string_view bytes, error& why)
{
  const json content = from_bytes(bytes, why);
  if (why.kind != error_kind::none) {
    return std::nullopt;
  }
  member_list result;
  json_fields fields(content, "", why);
  result.daemons_in_domain = fields.small_number("daemons", 0, max_elements);
  fields.each("members", max_elements, [&result](json_fields& member) {
    result.members.push_back({ member.text("id", max_text_bytes),
                               member.text("domain", max_text_bytes),
                               member.address("address"),
                               member.small_number_or("link_kbps", 0, max_small_number, 0) });
  });
  if (!fields.ok()) {
    return std::nullopt;
  }
  return result;
}

}
