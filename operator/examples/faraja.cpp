#include "operator/examples/faraja.h"

int main()
{
    return wigeonkeel::printOrExplain(wigeonkeel::farajaDeclaration());
}
