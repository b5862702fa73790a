#pragma once

#include "kernel/finding.h"

#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::cli {

/// A contract file as it stands on disk.
struct ContractFile {
    std::string path;
    std::string customer;
    std::string text;
};

/// The file @p path, or every *.json file below the directory @p path, in the order of their names, each checked alone and
/// against the others. With errors among @p findings the result is not to be used.
std::vector<ContractFile> readContractFiles(const std::string &path, Findings &findings);

} // namespace cardamomlift::cli
