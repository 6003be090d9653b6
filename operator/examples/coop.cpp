#include "operator/examples/coop.h"

int main()
{
    return wigeonkeel::printOrExplain(wigeonkeel::coopDeclaration());
}
