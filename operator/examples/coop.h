#pragma once

#include "operator/wigeonkeel_operator.h"

namespace wigeonkeel
{

/// Co-op, school crossing patrols: term rosters, gap-filling and notices.
OperatorDeclaration coopDeclaration();

} // namespace wigeonkeel
