#pragma once

#include "http/httptypes.h"
#include "kernel/result.h"
#include "settings/settingstypes.h"

#include <string>

namespace cardamomlift::settings {

/// The PEM texts that a ListenSettings names; empty for plaintext.
struct ListenFiles {
    std::string certificatePem;
    std::string privateKeyPem;
    std::string authorityPem;
};

/// Reads the files. Fails with the first that can't be read.
Result<ListenFiles> readListenFiles(const ListenSettings &listen);

/// Server options of one port: address, port, TLS.
Result<http::ServerOptions> serverOptions(const ListenSettings &listen);

} // namespace cardamomlift::settings
