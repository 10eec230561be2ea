#pragma once

#include <cstddef>
#include <string>

#include <nlohmann/json.hpp>

namespace coltsfootlock {

/// Builds a value from parser events, and refuses one with more levels of arrays and objects than `max_levels`. The
/// parser of MessagePack calls itself for each level, and values of many levels take a multiple of their text in
/// memory.
class bounded_json_builder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
public:
  bounded_json_builder(nlohmann::json& result, std::size_t max_levels)
    : json_sax_dom_parser(result, false)
    , max_levels_(max_levels)
  {
  }

  bool start_object(std::size_t size) { return enter() && json_sax_dom_parser::start_object(size); }
  bool start_array(std::size_t size) { return enter() && json_sax_dom_parser::start_array(size); }
  bool end_object()
  {
    --levels_;
    return json_sax_dom_parser::end_object();
  }
  bool end_array()
  {
    --levels_;
    return json_sax_dom_parser::end_array();
  }

  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception& failure)
  {
    problem_ = failure.what();
    return false;
  }

  /// Why the input was refused; it may contain a part of the input.
  const std::string& problem() const { return problem_; }

private:
  bool enter()
  {
    if (++levels_ > max_levels_) {
      problem_ = "more than " + std::to_string(max_levels_) + " levels of arrays and objects";
      return false;
    }
    return true;
  }

  std::size_t max_levels_;
  std::size_t levels_ = 0;
  std::string problem_;
};

}
