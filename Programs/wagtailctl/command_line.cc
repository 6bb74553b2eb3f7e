#include "wagtailctl/command_line.h"

#include <algorithm>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <ostream>

namespace wagtailmount {

namespace options = boost::program_options;

namespace {

/// What the command line may hold, and the order of its arguments.
struct grammar {
  options::options_description visible;
  options::options_description all;
  options::positional_options_description positions;
};

grammar MakeGrammar(const command_form& form) {
  grammar made{options::options_description("Options"), {}, {}};
  made.visible.add(form.options);
  made.visible.add_options()("help,h", "print this text");
  made.all.add(made.visible);
  for (const auto& name : form.positions) {
    made.all.add_options()(name.c_str(),
                           options::value<std::string>()->required());
    made.positions.add(name.c_str(), 1);
  }
  return made;
}

/// The library names arguments as if they were options.
std::string WithoutDashes(const std::string& name) {
  return name.substr(std::min(name.find_first_not_of('-'), name.size()));
}

exit_status Refuse(const command_form& form, std::string_view reason,
                   command_streams streams) {
  streams.err << "wagtailctl: " << reason << "\nUsage: wagtailctl "
              << form.usage << "\n";
  return exit_status::kMisuse;
}

}  // namespace

parsed_command_line ParseCommandLine(const command_form& form,
                                     std::span<const std::string> arguments,
                                     command_streams streams) {
  parsed_command_line parsed;
  const grammar known = MakeGrammar(form);
  try {
    const std::vector<std::string> words(arguments.begin(), arguments.end());
    options::store(options::command_line_parser(words)
                       .options(known.all)
                       .positional(known.positions)
                       .run(),
                   parsed.values);
    if (parsed.values.count("help") != 0) {
      streams.out << "Usage: wagtailctl " << form.usage << "\n\n"
                  << form.help << "\n\n"
                  << known.visible;
      parsed.end = exit_status::kSuccess;
      return parsed;
    }
    options::notify(parsed.values);
  } catch (const options::required_option& failure) {
    parsed.end =
        Refuse(form, WithoutDashes(failure.get_option_name()) + " is missing",
               streams);
  } catch (const options::error& failure) {
    parsed.end = Refuse(form, failure.what(), streams);
  }
  return parsed;
}

}  // namespace wagtailmount
