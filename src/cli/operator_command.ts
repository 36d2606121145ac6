/**
 * Base class of the commands that call a daemon.
 *
 * @module
 */

import type { ChannelCredentials } from "@grpc/grpc-js";
import { Command, Option, UsageError } from "clipanion";
import { readFile } from "node:fs/promises";
import { CertificateFiles } from "../transport/mod.js";
import { OperatorClient, OperatorError } from "./operator_client.js";

/** Exit codes, as documented in docs/OPERATIONS.md. */
export enum ExitCode {
    Success = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    Unauthenticated = 4,
    Conflict = 5,
    OutcomeUnknown = 6,
}

/** Command that calls one daemon. */
export abstract class OperatorCommand extends Command {
    address = Option.String("--address", {
        env: "FOXTAILRAIL_ADDRESS",
        description: "IP address and port of a daemon for peers and operators. Also FOXTAILRAIL_ADDRESS.",
    });
    keyFile = Option.String("--key-file", {
        env: "FOXTAILRAIL_KEY_FILE",
        description: "File that holds the operator's key. Also FOXTAILRAIL_KEY_FILE.",
    });
    caFile = Option.String("--tls-ca", {
        env: "FOXTAILRAIL_TLS_CA",
        description: "Certificate authorities of the daemons, in PEM. Also FOXTAILRAIL_TLS_CA. Defaults to plain text.",
    });
    certificateFile = Option.String("--tls-certificate", {
        env: "FOXTAILRAIL_TLS_CERTIFICATE",
        description: "Operator's certificate, in PEM. Also FOXTAILRAIL_TLS_CERTIFICATE.",
    });
    privateKeyFile = Option.String("--tls-key", {
        env: "FOXTAILRAIL_TLS_KEY",
        description: "Private key of the operator's certificate, in PEM. Also FOXTAILRAIL_TLS_KEY.",
    });
    json = Option.Boolean("--json", false, { description: "Print JSON instead of text." });

    /**
     * Executes the command against the daemon.
     *
     * @param client Connection to the daemon.
     * @returns Exit code.
     */
    protected abstract run(client: OperatorClient): Promise<ExitCode>;

    override async execute(): Promise<number> {
        try {
            return await this.callDaemon();
        }
        catch (error) {
            if (!(error instanceof UsageError)) {
                throw error;
            }
            this.context.stderr.write(`${error.message}\n`);
            return ExitCode.Usage;
        }
    }

    private async callDaemon(): Promise<ExitCode> {
        if (this.address === undefined) {
            throw new UsageError("Option --address is missing; give it or set FOXTAILRAIL_ADDRESS, such as 127.0.0.1:7102.");
        }
        const client = await this.connect(this.address);
        try {
            return await this.run(client);
        }
        catch (error) {
            if (!(error instanceof OperatorError)) {
                throw error;
            }
            this.context.stderr.write(`${error.message}\n`);
            return error.isUnauthenticated ? ExitCode.Unauthenticated : ExitCode.Unreachable;
        }
        finally {
            client.close();
        }
    }

    /** Connects to a daemon with the operator's key and certificates. */
    protected async connect(address: string): Promise<OperatorClient> {
        return new OperatorClient(address, await this.readKey(), this.readCredentials());
    }

    private readCredentials(): ChannelCredentials | undefined {
        const { caFile, certificateFile, privateKeyFile: keyFile } = this;
        if (caFile === undefined && certificateFile === undefined && keyFile === undefined) {
            return undefined;
        }
        if (caFile === undefined || certificateFile === undefined || keyFile === undefined) {
            throw new UsageError(
                "Options --tls-ca, --tls-certificate and --tls-key must be given together; give all three, or none.",
            );
        }
        try {
            return new CertificateFiles({ caFile, certificateFile, keyFile }).channelCredentials();
        }
        catch (error) {
            throw new UsageError(`${(error as Error).message}.`);
        }
    }

    /** Reads the operator's key, if a key file is given. */
    protected async readKey(): Promise<string | undefined> {
        if (this.keyFile === undefined) {
            return undefined;
        }
        try {
            return (await readFile(this.keyFile, "utf8")).trim();
        }
        catch (error) {
            throw new UsageError(`Cannot read key file "${this.keyFile}": ${(error as Error).message}.`);
        }
    }

    /** Prints the value as JSON with `--json`, otherwise the text. */
    protected print(value: unknown, text: string): void {
        this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : text);
    }
}
