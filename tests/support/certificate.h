#pragma once

#include <string>

namespace cardamomlift::test {

/// A self-signed certificate for 127.0.0.1 made by this test run, as PEM files.
struct Certificate {
    std::string certificateFile;
    std::string privateKeyFile;
    std::string certificatePem;
};

Certificate makeCertificate(const std::string &name);

} // namespace cardamomlift::test
