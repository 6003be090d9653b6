#include "main/ctl/context.h"

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

std::string flagWords(std::span<const std::string_view> flags)
{
    std::string words;
    for (const std::string_view flag : flags) {
        words += "--";
        for (const char each : flag) {
            words += each == '_' ? '-' : each;
        }
        words += ' ';
    }
    return words;
}

} // namespace

std::string bashCompletion(std::span<const CtlCommand> commands, std::span<const std::string_view> commonFlags)
{
    std::string names;
    std::string cases;
    for (const CtlCommand &command : commands) {
        names += fmt::format("{} ", command.name);
        cases += fmt::format(
            "        {}) words=\"{}{}\" ;;\n", command.name, flagWords(command.flags), flagWords(commonFlags));
    }
    return fmt::format(R"(_wigeonkeelctl()
{{
    local current="${{COMP_WORDS[COMP_CWORD]}}" words="{}completion"
    case "${{COMP_WORDS[1]}}" in
{}    esac
    if [ "$COMP_CWORD" -gt 1 ] && [[ "$current" != -* ]]; then
        COMPREPLY=($(compgen -f -- "$current"))
        return
    fi
    COMPREPLY=($(compgen -W "$words" -- "$current"))
}}
complete -F _wigeonkeelctl wigeonkeelctl
)",
        names, cases);
}

} // namespace wigeonkeel
