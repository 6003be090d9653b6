#include "core/ini.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <ini.h>

namespace wigeonkeel
{

namespace
{

/// inih reads lines into a buffer of 200 bytes and would cut a longer one silently.
constexpr std::size_t maxLineLength = 198;

/// Feeds inih one line at a time, so that lines can be counted.
struct LineReader
{
    std::string_view rest;
    int line = 0;
    IniDocument document;
    std::set<std::pair<std::string, std::string>> seen;
};

char *readLine(char *buffer, int size, void *stream)
{
    auto &reader = *static_cast<LineReader *>(stream);
    if (reader.rest.empty()) {
        return nullptr;
    }
    ++reader.line;
    const std::size_t end = reader.rest.find('\n');
    std::string_view line = reader.rest.substr(0, end);
    reader.rest.remove_prefix(end == std::string_view::npos ? reader.rest.size() : end + 1);
    const bool tooLong = line.size() > std::min(maxLineLength, static_cast<std::size_t>(size) - 2);
    if (tooLong || line.find('\0') != std::string_view::npos) {
        const char *what = tooLong ? "the line is longer than {} bytes" : "the line holds a zero byte (limit {} bytes)";
        reader.document.problems.push_back(
            {.line = reader.line, .text = fmt::format(fmt::runtime(what), maxLineLength)});
        line = {};
    }
    // An empty view may have no address, which memcpy doesn't allow.
    std::ranges::copy(line, buffer);
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
}

int takeEntry(void *user, const char *section, const char *name, const char *value)
{
    auto &reader = *static_cast<LineReader *>(user);
    if (!reader.seen.emplace(section, name).second) {
        reader.document.problems.push_back(
            {.line = reader.line, .text = fmt::format("key '{}' is set twice in section [{}]", name, section)});
        return 1;
    }
    reader.document.entries.push_back({.section = section, .key = name, .value = value, .line = reader.line});
    return 1;
}

} // namespace

IniDocument parseIni(std::string_view text)
{
    // A value is taken to the end of its line, on one line, so that what an operator wrote is what is in force.
    ini_allow_multiline = false;
    ini_allow_inline_comments = false;
    LineReader reader{.rest = text};
    const int firstBadLine = ini_parse_stream(readLine, &reader, takeEntry, &reader);
    if (firstBadLine > 0) {
        reader.document.problems.push_back(
            {.line = firstBadLine, .text = "expected '[section]', 'key = value', or a comment from ';' or '#'"});
    }
    std::ranges::sort(reader.document.problems, {}, &IniProblem::line);
    return std::move(reader.document);
}

} // namespace wigeonkeel
