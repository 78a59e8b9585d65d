//! Mutual TLS: loads certificates and keys, checks a peer's host name, issues host certificates.

use {
    jayspread_schema::settings,
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    rustls::{RootCertStore, server::WebPkiClientVerifier},
    rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    std::{any::Any, fmt, path::Path, sync::Arc},
};

/// Application protocol negotiated in the TLS handshake.
const ALPN: &[u8] = b"jayspread/1";

/// Error of loading or issuing certificates and keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(Box<str>);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

fn error(context: impl fmt::Display, cause: impl fmt::Display) -> Error {
    Error(format!("{context}: {cause}").into())
}

/// TLS configuration of a process.
#[derive(Clone)]
pub struct Tls {
    /// Configuration for incoming connections.
    pub server: Arc<QuicServerConfig>,
    /// Configuration for outgoing connections.
    pub client: Arc<QuicClientConfig>,
}

/// Loads the PEM files named in the settings.
pub fn read(files: &settings::Tls) -> Result<Tls, Error> {
    let authority = read_certificates(&files.authority, "tls.authority")?;
    let chain = read_certificates(&files.certificate, "tls.certificate")?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|cause| error(format!("{}: tls.key", files.key.display()), cause))?;
    build(authority, chain, key)
}

/// Builds the TLS configuration from PEM strings.
pub fn from_pem(authority: &str, certificate: &str, key: &str) -> Result<Tls, Error> {
    let authority = parse_certificates(authority, "authority")?;
    let chain = parse_certificates(certificate, "certificate")?;
    let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|e| error("key", e))?;
    build(authority, chain, key)
}

fn read_certificates(path: &Path, field: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    let source = || format!("{}: {field}", path.display());
    let text = std::fs::read_to_string(path).map_err(|cause| error(source(), cause))?;
    parse_certificates(&text, &source())
}

fn parse_certificates(text: &str, source: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    let certificates = certificates.map_err(|cause| error(source, cause))?;
    if certificates.is_empty() {
        return Err(error(source, "contains no certificate"));
    }
    Ok(certificates)
}

fn build(
    authority: Vec<CertificateDer<'static>>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Tls, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots.add(certificate).map_err(|e| error("authority", e))?;
    }
    let roots = Arc::new(roots);
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .map_err(|e| error("authority", e))?;
    let versions = [&rustls::version::TLS13];
    let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&versions)
        .map_err(|e| error("tls", e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|e| error("certificate", e))?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&versions)
        .map_err(|e| error("tls", e))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|e| error("certificate", e))?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    let server = QuicServerConfig::try_from(server).map_err(|e| error("tls", e))?;
    let client = QuicClientConfig::try_from(client).map_err(|e| error("tls", e))?;
    Ok(Tls {
        server: Arc::new(server),
        client: Arc::new(client),
    })
}

/// DNS name in the certificate of `host`.
pub fn server_name(host: &str) -> String {
    format!("{host}.jayspread")
}

/// Whether the certificate that a peer presented is valid for `host`.
pub fn matches_host(identity: Option<Box<dyn Any>>, host: &str) -> bool {
    let Some(chain) =
        identity.and_then(|chain| chain.downcast::<Vec<CertificateDer<'static>>>().ok())
    else {
        return false;
    };
    let Some(Ok(certificate)) = chain.first().map(webpki::EndEntityCert::try_from) else {
        return false;
    };
    let Ok(name) = ServerName::try_from(server_name(host)) else {
        return false;
    };
    certificate.verify_is_valid_for_subject_name(&name).is_ok()
}

/// Certificate authority of a deployment.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// Certificate in PEM format.
    pub certificate: Box<str>,
    /// Private key in PEM format.
    pub key: Box<str>,
}

/// Certificate and private key of one host.
pub struct Credentials {
    /// Certificate in PEM format.
    pub certificate: Box<str>,
    /// Private key in PEM format.
    pub key: Box<str>,
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    pub fn create() -> Result<Self, Error> {
        let key = KeyPair::generate().map_err(|e| error("key", e))?;
        let params = authority_params()?;
        let certificate = params
            .self_signed(&key)
            .map_err(|e| error("authority", e))?;
        let pem = key.serialize_pem();
        Ok(Self {
            certificate: certificate.pem().into(),
            key: pem.into(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Loads an authority from its certificate and private key in PEM format.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, Error> {
        let pair = KeyPair::from_pem(key).map_err(|e| error("authority key", e))?;
        parse_certificates(certificate, "authority")?;
        Ok(Self {
            certificate: certificate.into(),
            key: key.into(),
            issuer: Issuer::new(authority_params()?, pair),
        })
    }

    /// Creates a key for `host` and issues a certificate for it.
    pub fn issue(&self, host: &str) -> Result<Credentials, Error> {
        let key = KeyPair::generate().map_err(|e| error("key", e))?;
        let params =
            CertificateParams::new(vec![server_name(host)]).map_err(|e| error("host name", e))?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(|e| error("certificate", e))?;
        Ok(Credentials {
            certificate: certificate.pem().into(),
            key: key.serialize_pem().into(),
        })
    }
}

fn authority_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::new()).map_err(|e| error("authority", e))?;
    params
        .distinguished_name
        .push(DnType::CommonName, "jayspread authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}
