#pragma once

#include "operator/wigeonkeel_operator.h"

namespace wigeonkeel
{

/// Faraja, a lending desk: reservations, laundry batches and overnight reconciliations.
OperatorDeclaration farajaDeclaration();

} // namespace wigeonkeel
