#pragma once

namespace coltsfootlock {

/// A descriptor of the system, or none. Closes itself.
class owned_descriptor
{
public:
  owned_descriptor() = default;

  /// Takes over `descriptor`; a negative one is none.
  explicit owned_descriptor(int descriptor);
  owned_descriptor(owned_descriptor&& other) noexcept;
  owned_descriptor& operator=(owned_descriptor&& other) noexcept;
  owned_descriptor(const owned_descriptor&) = delete;
  owned_descriptor& operator=(const owned_descriptor&) = delete;
  ~owned_descriptor();

  bool is_open() const { return value_ >= 0; }

  /// -1 if there is none.
  int get() const { return value_; }
  void close();

private:
  int value_ = -1;
};

}
