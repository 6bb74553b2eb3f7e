#pragma once

#include "LibTraffic/caller_line.h"
#include "LibTraffic/http_message.h"

namespace wagtailmount::detail {

/// Prepares the answer to the request `ticket`, the first of its line, for
/// being passed on. One that breaks off while it is passed on ends the
/// connection, and requests behind it get no answer. So with others behind it,
/// what is too long to be held whole is held as far as the line, and the memory
/// for all lines, allow. Returns kNone, or why it broke off meanwhile: then it
/// can be refused, and the connection goes on.
task<refusal_cause> HoldBeforeOthers(traffic_worker& worker, caller_line& line,
                                     line_ticket ticket,
                                     incoming_answer& answer);

}  // namespace wagtailmount::detail
