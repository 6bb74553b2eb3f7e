#include "LibRouting/verdict.h"

#include <algorithm>

namespace wagtailmount {

std::string_view NameOf(verdict value) {
  switch (value) {
    case verdict::kNotRun:
      return "not-run";
    case verdict::kMayHaveRun:
      return "may-have-run";
    case verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

verdict Combine(verdict first, verdict second) {
  // The enumerators are ordered from the one after which a repeat is safest to
  // the one after which it is least so: a request that ran in one attempt has
  // run, whatever became of the others.
  return std::max(first, second);
}

}  // namespace wagtailmount
