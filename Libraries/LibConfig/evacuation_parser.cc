#include "LibConfig/entry_parsers.h"

namespace wagtailmount::detail {

entry_value ParseEvacuation(std::string_view name, std::string_view team,
                            json_object_reader& /*reader*/) {
  auto parsed = std::make_shared<evacuation>();
  parsed->name = name;
  parsed->team = team;
  return std::shared_ptr<const evacuation>(std::move(parsed));
}

}  // namespace wagtailmount::detail
