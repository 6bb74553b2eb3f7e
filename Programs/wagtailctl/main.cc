#include <iostream>
#include <string>
#include <vector>

#include "wagtailctl/command.h"

int main(int count, char** words) {
  const std::vector<std::string> arguments(words + 1, words + count);
  return static_cast<int>(wagtailmount::RunCommandLine(
      arguments, wagtailmount::command_streams{std::cout, std::cerr}));
}
