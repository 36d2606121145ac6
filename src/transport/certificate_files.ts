/**
 * Certificates for mutual TLS between daemons, read from files and read again when these change.
 *
 * @module
 */

import type { ServerCredentials } from "@grpc/grpc-js";
import { type ChannelCredentials, experimental } from "@grpc/grpc-js";
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Clock } from "../state/mod.js";

/** DNS name that the certificate of a daemon carries, whatever its address. */
export const PEER_DNS_NAME = "peer.foxtailrail";

/** Time between two looks at the files, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Files of one end of a connection. */
export interface CertificateFileNames {
    /** Certificate in PEM. */
    readonly certificateFile: string;
    /** Private key of the certificate in PEM. */
    readonly keyFile: string;
    /** Certificate authorities of the other ends in PEM. */
    readonly caFile: string;
}

/** Certificate files that cannot be used. */
export class CertificateError extends Error {
    override readonly name = "CertificateError";

    /**
     * @param file File at fault.
     * @param problem Why it cannot be used.
     */
    constructor(readonly file: string, problem: string) {
        super(`Cannot use certificate file ${file}: ${problem}`);
    }
}

/** Contents of the files at one time. */
interface CertificateMaterial {
    readonly certificate: Buffer;
    readonly privateKey: Buffer;
    readonly caCertificate: Buffer;
    readonly expiresAtMs: number;
}

/** Certificates in use; new connections take the latest ones that were whole and fitted each other. */
export class CertificateFiles implements experimental.CertificateProvider {
    private material: CertificateMaterial;
    private readonly caListeners = new Set<experimental.CaCertificateUpdateListener>();
    private readonly identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();

    /**
     * @param names Files to read.
     * @throws {CertificateError} When a file cannot be read, or key and certificate do not belong together.
     */
    constructor(private readonly names: CertificateFileNames) {
        this.material = readMaterial(names);
    }

    /** Time at which the certificate in use expires, in milliseconds since the Unix epoch. */
    get expiresAtMs(): number {
        return this.material.expiresAtMs;
    }

    /** Credentials of a server that accepts holders of a certificate alone. */
    serverCredentials(): ServerCredentials {
        return experimental.createCertificateProviderServerCredentials(this, this, true);
    }

    /** Credentials of a client. */
    channelCredentials(): ChannelCredentials {
        return experimental.createCertificateProviderChannelCredentials(this, this);
    }

    /**
     * Reads the files again until the signal is aborted. While they cannot be used, the last ones stay in use.
     *
     * @param clock Clock that the looks are timed by.
     * @param signal Ends the watch when aborted.
     * @param onResult Hears of certificates that were taken into use, or why those in the files were not.
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
     * Reads the files again.
     *
     * @returns Whether something has changed.
     * @throws {CertificateError} When they cannot be used; the last ones stay in use.
     */
    reload(): boolean {
        const next = readMaterial(this.names);
        const { material } = this;
        const same = next.certificate.equals(material.certificate) && next.privateKey.equals(material.privateKey) &&
            next.caCertificate.equals(material.caCertificate);
        if (same) {
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
    const parsed = parseCertificate(names.certificateFile, certificate);
    parseCertificate(names.caFile, caCertificate);
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

function parseCertificate(file: string, pem: Buffer): X509Certificate {
    try {
        return new X509Certificate(pem);
    }
    catch {
        throw new CertificateError(file, "it holds no certificate in PEM");
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
