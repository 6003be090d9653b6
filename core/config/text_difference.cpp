#include "core/config/text_difference.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

struct Line
{
    std::string_view section;
    std::string_view text;
    std::size_t number = 0;
};

std::vector<Line> splitLines(std::string_view text)
{
    std::vector<Line> lines;
    std::string_view section;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        section = line.starts_with('[') ? line : section;
        lines.push_back({.section = section, .text = line, .number = lines.size()});
    }
    return lines;
}

bool byContent(const Line &left, const Line &right)
{
    return std::tie(left.section, left.text) < std::tie(right.section, right.text);
}

/// Lines of the first text without counterpart in the second, in the order of the first.
std::vector<Line> linesOnlyIn(std::vector<Line> first, std::vector<Line> second)
{
    std::ranges::sort(first, byContent);
    std::ranges::sort(second, byContent);
    std::vector<Line> result;
    std::ranges::set_difference(first, second, std::back_inserter(result), byContent);
    std::ranges::sort(result, {}, &Line::number);
    return result;
}

void append(std::string &text, char sign, const Line &line)
{
    if (line.section.empty() || line.section == line.text) {
        text += fmt::format("{}{}\n", sign, line.text);
        return;
    }
    text += fmt::format("{}{} {}\n", sign, line.section, line.text);
}

} // namespace

std::string settingsDifference(std::string_view before, std::string_view after)
{
    const std::vector<Line> oldLines = splitLines(before);
    const std::vector<Line> newLines = splitLines(after);
    std::string text;
    for (const Line &line : linesOnlyIn(oldLines, newLines)) {
        append(text, '-', line);
    }
    for (const Line &line : linesOnlyIn(newLines, oldLines)) {
        append(text, '+', line);
    }
    return text;
}

} // namespace wigeonkeel
