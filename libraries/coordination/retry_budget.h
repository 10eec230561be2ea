#pragma once

#include <algorithm>

namespace coltsfootlock {

/// Token bucket that limits the retries of one service to a tenth of its requests, with a burst of ten.
class retry_budget
{
public:
  void on_request() { tokens_ = std::min(max_tokens, tokens_ + tokens_per_request); }

  /// Consumes a token; false if none is left and the retry is not allowed.
  bool spend()
  {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  static constexpr double max_tokens = 10.0;
  static constexpr double tokens_per_request = 0.1;
  double tokens_ = max_tokens;
};

}
