#pragma once

namespace coltsfootlock {

inline constexpr int exit_cannot_start = 1;
inline constexpr int exit_wrong_settings = 2;

}
