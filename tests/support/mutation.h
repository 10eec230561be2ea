#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>

namespace coltsfootlock::testing {

/// Changes up to four places of a message: flips a bit, sets a byte to an extreme value, or removes, repeats or
/// truncates a range.
inline std::string
mutate(std::string message, std::mt19937_64& random)
{
  const auto below = [&random](std::size_t limit) {
    return static_cast<std::size_t>(random() % std::max<std::size_t>(limit, 1));
  };
  const std::size_t changes = 1 + below(4);
  for (std::size_t change = 0; change < changes && !message.empty(); ++change) {
    const std::size_t place = below(message.size());
    const std::size_t length = 1 + below(std::min<std::size_t>(message.size() - place, 16));
    switch (below(5)) {
      case 0:
        message[place] = static_cast<char>(message[place] ^ (1 << below(8)));
        break;
      case 1:
        message[place] = static_cast<char>(below(2) == 0 ? 0xff : 0x80 + below(0x60));
        break;
      case 2:
        message.erase(place, length);
        break;
      case 3:
        message.insert(place, message.substr(place, length));
        break;
      default:
        message.resize(place);
        break;
    }
  }
  return message;
}

}
