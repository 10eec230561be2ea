#include "platform_catalogue.h"

#include <variant>

namespace coltsfootlock {

namespace {

struct catalogue_visitor
{
  error& why;

  std::optional<catalogue> operator()(const catalogue_published& change) const { return *change.value; }

  std::optional<catalogue> operator()(const catalogue_unreadable& change) const
  {
    why = change.why;
    return std::nullopt;
  }

  template<typename Other>
  std::optional<catalogue> operator()(const Other&) const
  {
    why = { error_kind::unknown_name, "the record is not a catalogue; give the key of the catalogue after --record" };
    return std::nullopt;
  }
};

}

std::optional<catalogue>
catalogue_of(const std::optional<record_change>& change, error& why)
{
  if (!change) {
    why = { error_kind::unknown_name,
            "the load balancer does not use this record; give the key of the catalogue after --record" };
    return std::nullopt;
  }
  return std::visit(catalogue_visitor{ why }, change->content);
}

}
