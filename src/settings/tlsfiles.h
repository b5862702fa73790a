#pragma once

#include "http/httptypes.h"
#include "kernel/result.h"
#include "settings/settingstypes.h"

#include <string>

namespace cardamomlift::settings {

/// Contents of the PEM files that a ListenSettings names; empty where it names none.
struct TlsFiles {
    std::string certificatePem;
    std::string privateKeyPem;
    std::string authorityPem;
};

/// Reads the files. Fails if one can't be read.
Result<TlsFiles> readTlsFiles(const ListenSettings &listen);

/// The HTTP server options for one port: address, port, idle timeout and TLS. Fails if a PEM file can't be read.
Result<http::ServerOptions> serverOptions(const ListenSettings &listen);

} // namespace cardamomlift::settings
