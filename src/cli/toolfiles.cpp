#include "cli/toolfiles.h"

#include "contract/contractreader.h"
#include "contract/editcheck.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cardamomlift::cli {

namespace {

namespace fs = std::filesystem;
using contract::ContractInForce;

std::vector<std::string> pathsBelow(const std::string &path)
{
    std::error_code error;
    if (!fs::is_directory(path, error)) {
        return {path};
    }
    std::vector<std::string> paths;
    for (const auto &entry : fs::recursive_directory_iterator(path, error)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json") {
            paths.push_back(entry.path().string());
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file || !fs::is_regular_file(path)) {
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

std::vector<ContractFile> readContractFiles(const std::string &path, Findings &findings)
{
    std::vector<ContractFile> files;
    std::vector<std::shared_ptr<const ContractInForce>> before;
    for (const std::string &name : pathsBelow(path)) {
        const auto text = readFile(name);
        if (!text) {
            findings.push_back({name, 0, 0, "The file can't be read.", "Check the path."});
            continue;
        }
        Findings own;
        auto entry = std::make_shared<ContractInForce>();
        entry->contract = contract::readContract(name, *text, own);
        const std::string &customer = entry->contract.customer;
        if (!hasErrors(own)) {
            own = contract::checkEdit({name, customer, *text}, nullptr, before);
        }
        const auto isSame = [&](const ContractFile &file) {
            return file.customer == customer;
        };
        const auto twin = std::find_if(files.begin(), files.end(), isSame);
        if (!hasErrors(own) && twin != files.end()) {
            own.push_back({name, 1, 1, "Customer " + customer + " has another contract in " + twin->path + ".", "Keep one of the two."});
        }
        findings.insert(findings.end(), own.begin(), own.end());
        files.push_back({name, customer, *text});
        before.push_back(std::move(entry));
    }
    if (files.empty() && findings.empty()) {
        findings.push_back({path, 0, 0, "There is no contract file here.", "Name a file, or a directory with .json files."});
    }
    return files;
}

} // namespace cardamomlift::cli
