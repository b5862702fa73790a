#include "support/contracts.h"

#include "support/process.h"

#include <gtest/gtest.h>

namespace cardamomlift::test {

std::string exampleContract()
{
    return readFile(std::string(CARDAMOMLIFT_SOURCES) + "/examples/co-op/contract.json");
}

std::string withReplaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t place = text.find(from);
    if (place == std::string::npos) {
        ADD_FAILURE() << "The text does not have " << from;
        return text;
    }
    return text.replace(place, from.size(), to);
}

std::uint64_t versionInForce(const Json::Value &status)
{
    return status["contracts"][ExampleCustomer].asUInt64();
}

} // namespace cardamomlift::test
