#include "main/read_file.h"

#include <fstream>
#include <sstream>

namespace wigeonkeel
{

std::optional<std::string> readFile(std::string_view path)
{
    std::ifstream file{std::string(path)};
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace wigeonkeel
