#include "support/certificate.h"

#include "support/process.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <memory>

namespace cardamomlift::test {

namespace {

constexpr int KeyBits = 2048;
constexpr long LifetimeSeconds = 3600;

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using X509Ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using BioPtr = std::unique_ptr<BIO, decltype(&BIO_free)>;

void addExtension(X509 *certificate, int kind, const char *value)
{
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

std::string textOf(BIO *bio)
{
    char *data = nullptr;
    const long size = BIO_get_mem_data(bio, &data);
    return {data, static_cast<std::size_t>(size)};
}

} // namespace

Certificate makeCertificate(const std::string &name)
{
    const KeyPtr key(EVP_RSA_gen(KeyBits), &EVP_PKEY_free);
    const X509Ptr certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -LifetimeSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), LifetimeSeconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME *subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    addExtension(certificate.get(), NID_subject_alt_name, "IP:127.0.0.1");
    addExtension(certificate.get(), NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(certificate.get(), key.get(), EVP_sha256());

    const BioPtr certificateBio(BIO_new(BIO_s_mem()), &BIO_free);
    const BioPtr keyBio(BIO_new(BIO_s_mem()), &BIO_free);
    PEM_write_bio_X509(certificateBio.get(), certificate.get());
    PEM_write_bio_PrivateKey(keyBio.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    Certificate result;
    result.certificatePem = textOf(certificateBio.get());
    result.certificateFile = writeScratchFile(name + "-cert.pem", result.certificatePem);
    result.privateKeyFile = writeScratchFile(name + "-key.pem", textOf(keyBio.get()));
    return result;
}

} // namespace cardamomlift::test
