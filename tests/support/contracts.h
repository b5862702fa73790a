#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>

namespace cardamomlift::test {

inline constexpr char ExampleCustomer[] = "print-co-op";

/// The example contract of ExampleCustomer.
std::string exampleContract();
/// @p text with the first @p from replaced by @p to. Fails the test if it is not there.
std::string withReplaced(std::string text, const std::string &from, const std::string &to);
/// The version of ExampleCustomer's contract that is in force by a status page; 0 if none is.
std::uint64_t versionInForce(const Json::Value &status);

} // namespace cardamomlift::test
