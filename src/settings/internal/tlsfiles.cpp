#include "settings/tlsfiles.h"

#include <fstream>
#include <sstream>

namespace cardamomlift::settings {

namespace {

Result<std::string> readFile(const std::string &path)
{
    if (path.empty()) {
        return std::string();
    }
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorKind::NotFound, "can't read " + path);
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Result<TlsFiles> readTlsFiles(const ListenSettings &listen)
{
    BOOST_OUTCOME_TRY(certificate, readFile(listen.certificateFile));
    BOOST_OUTCOME_TRY(privateKey, readFile(listen.privateKeyFile));
    BOOST_OUTCOME_TRY(authority, readFile(listen.authorityFile));
    return TlsFiles{std::move(certificate), std::move(privateKey), std::move(authority)};
}

Result<http::ServerOptions> serverOptions(const ListenSettings &listen)
{
    BOOST_OUTCOME_TRY(files, readTlsFiles(listen));
    http::ServerOptions options;
    options.address = listen.address;
    options.port = listen.port;
    options.idleSeconds = listen.idleSeconds;
    options.certificatePem = files.certificatePem;
    options.privateKeyPem = files.privateKeyPem;
    return options;
}

} // namespace cardamomlift::settings
