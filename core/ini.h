#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    /// Counted from 1.
    int line = 0;
};

struct IniProblem
{
    int line = 0;
    std::string text;
};

struct IniDocument
{
    std::vector<IniEntry> entries;
    std::vector<IniProblem> problems;
};

/// Reads INI text with inih: sections, `key = value`, comments from `;` or `#` at the start of a line. Lines over 198
/// bytes, lines that are neither, and repeated keys are problems.
IniDocument parseIni(std::string_view text);

} // namespace wigeonkeel
