#pragma once

#include "LibBase/endpoint.h"

namespace wagtailmount::testing {

/// A loopback address that nobody listens on, each given once a process and to
/// one process at a time. The ports lie below those that the system gives to
/// outgoing connections, which could take one between this look and its use.
/// Throws std::runtime_error when other processes hold all ports.
endpoint FreeEndpoint();

}  // namespace wagtailmount::testing
