#include "coltsfootlock/transport/owned_descriptor.h"

#include <utility>

#include <unistd.h>

namespace coltsfootlock {

owned_descriptor::owned_descriptor(int descriptor)
  : value_(descriptor)
{
}

owned_descriptor::owned_descriptor(owned_descriptor&& other) noexcept
  : value_(std::exchange(other.value_, -1))
{
}

owned_descriptor&
owned_descriptor::operator=(owned_descriptor&& other) noexcept
{
  std::swap(value_, other.value_);
  return *this;
}

owned_descriptor::~owned_descriptor()
{
  close();
}

void
owned_descriptor::close()
{
  if (is_open()) {
    ::close(std::exchange(value_, -1));
  }
}

}
