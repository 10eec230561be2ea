#include "target_load.h"

#include <nlohmann/json.hpp>

namespace coltsfootlock {

std::optional<target_report>
parse_target_load(const std::string& text, error& why)
{
  const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("incarnation") || !value["incarnation"].is_number_unsigned() ||
      !value.contains("condition") || !value["condition"].is_string()) {
    why = { error_kind::missing_field, "a load report must contain the number incarnation and the string condition" };
    return std::nullopt;
  }
  const auto name = value["condition"].get<std::string>();
  for (const target_condition condition :
       { target_condition::serving, target_condition::cold, target_condition::leaving }) {
    if (name == to_string(condition)) {
      return target_report{ value["incarnation"].get<std::uint64_t>(), condition };
    }
  }
  why = { error_kind::unknown_name, "the condition \"" + name + "\" is not serving, cold or leaving" };
  return std::nullopt;
}

}
