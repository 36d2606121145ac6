/**
 * Certificates for mutual TLS between daemons, loaded from files and reloaded when the files change.
 *
 * @module
 */

import type { ServerCredentials } from "@grpc/grpc-js";
import { type ChannelCredentials, experimental } from "@grpc/grpc-js";
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Clock } from "../state/mod.js";

/** DNS name in the certificate of every daemon. It does not depend on the daemon's address. */
export const PEER_DNS_NAME = "peer.foxtailrail";

/** Interval at which the files are checked for changes, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Certificate in PEM. */
const CERTIFICATE_PATTERN = /-----BEGIN ((?:X509 |TRUSTED )?CERTIFICATE)-----[^]*?-----END \1-----/g;

/** Names of the certificate files of a client or server. */
export interface CertificateFileNames {
    /** Certificate in PEM format. */
    readonly certificateFile: string;
    /** Private key of the certificate in PEM format. */
    readonly keyFile: string;
    /** Certificate authorities that peers are verified against, in PEM format. */
    readonly caFile: string;
}

/** Error of a certificate file that cannot be read or is not valid. */
export class CertificateError extends Error {
    override readonly name = "CertificateError";

    /**
     * @param file File that cannot be used.
     * @param problem Why it cannot be used.
     */
    constructor(readonly file: string, problem: string) {
        super(`Cannot use certificate file ${file}: ${problem}`);
    }
}

/** Contents of the certificate files after one load. */
interface CertificateMaterial {
    readonly certificate: Buffer;
    readonly privateKey: Buffer;
    readonly caCertificate: Buffer;
    readonly expiresAtMs: number;
}

/** Provides certificates to gRPC; new connections use the last set that was valid and whose key matches its certificate. */
export class CertificateFiles implements experimental.CertificateProvider {
    private material: CertificateMaterial;
    private readonly caListeners = new Set<experimental.CaCertificateUpdateListener>();
    private readonly identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();

    /**
     * @param names Files to read.
     * @throws {CertificateError} If a file cannot be read, or the private key does not match the certificate.
     */
    constructor(private readonly names: CertificateFileNames) {
        this.material = readMaterial(names);
    }

    /** Expiry time of the certificate in use, in milliseconds since the Unix epoch. */
    get expiresAtMs(): number {
        return this.material.expiresAtMs;
    }

    /** Returns server credentials that require a client certificate. */
    serverCredentials(): ServerCredentials {
        return experimental.createCertificateProviderServerCredentials(this, this, true);
    }

    /** Returns client credentials for channels to other daemons. */
    channelCredentials(): ChannelCredentials {
        return experimental.createCertificateProviderChannelCredentials(this, this);
    }

    /**
     * Polls the files for changes until the signal is aborted. While they are not valid, the last valid set stays in use.
     *
     * @param clock Clock for the poll interval.
     * @param signal Stops the watch when aborted.
     * @param onResult Called when new certificates are in use, and with the error of a failed reload.
     * Consecutive failures with the same message are reported once.
     */
    async watch(clock: Clock, signal: AbortSignal, onResult: (error?: CertificateError) => void): Promise<void> {
        let lastProblem = "";
        while (await clock.sleep(POLL_INTERVAL_MS, signal)) {
            try {
                if (this.reload()) {
                    onResult();
                }
                lastProblem = "";
            }
            catch (error) {
                if (!(error instanceof CertificateError)) {
                    throw error;
                }
                if (error.message !== lastProblem) {
                    onResult(error);
                }
                lastProblem = error.message;
            }
        }
    }

    /**
     * Reloads the files and notifies the listeners if any of them has changed.
     *
     * @returns Whether any file has changed.
     * @throws {CertificateError} If the files are not valid; the last valid set stays in use.
     */
    reload(): boolean {
        const next = readMaterial(this.names);
        const { material } = this;
        const unchanged = next.certificate.equals(material.certificate) && next.privateKey.equals(material.privateKey) &&
            next.caCertificate.equals(material.caCertificate);
        if (unchanged) {
            return false;
        }
        this.material = next;
        for (const listener of this.caListeners) {
            listener(next);
        }
        for (const listener of this.identityListeners) {
            listener(next);
        }
        return true;
    }

    addCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
        this.caListeners.add(listener);
        process.nextTick(() => listener(this.material));
    }

    removeCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
        this.caListeners.delete(listener);
    }

    addIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
        this.identityListeners.add(listener);
        process.nextTick(() => listener(this.material));
    }

    removeIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
        this.identityListeners.delete(listener);
    }
}

function readMaterial(names: CertificateFileNames): CertificateMaterial {
    const certificate = readPemFile(names.certificateFile);
    const privateKey = readPemFile(names.keyFile);
    const caCertificate = readPemFile(names.caFile);
    const [parsed] = parseCertificates(names.certificateFile, certificate);
    parseCertificates(names.caFile, caCertificate);
    if (!matchesPrivateKey(parsed, names.keyFile, privateKey)) {
        throw new CertificateError(names.keyFile, `it is not the key of ${names.certificateFile}`);
    }
    return { certificate, privateKey, caCertificate, expiresAtMs: Date.parse(parsed.validTo) };
}

function readPemFile(file: string): Buffer {
    try {
        return readFileSync(file);
    }
    catch (error) {
        throw new CertificateError(file, (error as Error).message);
    }
}

/** Parses all certificates of a file, of which there must be at least one. */
function parseCertificates(file: string, pem: Buffer): readonly [X509Certificate, ...X509Certificate[]] {
    const blocks = pem.toString("latin1").match(CERTIFICATE_PATTERN) ?? [];
    const [first, ...others] = blocks.map((block, index) => parseCertificate(file, block, index + 1));
    if (first === undefined) {
        throw new CertificateError(file, "it holds no certificate in PEM");
    }
    return [first, ...others];
}

function parseCertificate(file: string, block: string, position: number): X509Certificate {
    try {
        return new X509Certificate(block);
    }
    catch (error) {
        throw new CertificateError(file, `its certificate ${position} is broken: ${(error as Error).message}`);
    }
}

function matchesPrivateKey(certificate: X509Certificate, keyFile: string, key: Buffer): boolean {
    try {
        return certificate.checkPrivateKey(createPrivateKey(key));
    }
    catch {
        throw new CertificateError(keyFile, "it holds no private key in PEM");
    }
}
