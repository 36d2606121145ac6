/**
 * Steps for mutual TLS between daemons.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import { credentials } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { appendFile, copyFile, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseSettings, SettingsError } from "../../src/daemon/mod.js";
import { PeerError, PeerHandler, type wire } from "../../src/protocol/mod.js";
import {
    CertificateError,
    CertificateFiles,
    GrpcPeerClient,
    GrpcServer,
    PeerAuthorizer,
    peerService,
} from "../../src/transport/mod.js";
import type { Scenario } from "../support/world.js";

/** Folder of the test certificates; `make.sh` in it records how they were generated. */
const CERTIFICATES_FOLDER = "features/fixtures/tls";

/** Certificate that cannot be parsed. */
const BROKEN_CERTIFICATE = "-----BEGIN CERTIFICATE-----\nYnJva2Vu\n-----END CERTIFICATE-----\n";

/** Timeout of one probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 10_000;

/** Server under test, its certificate files, and the error of the last call or reload. */
interface PeerServer {
    readonly folder: string;
    readonly certificateFiles: CertificateFiles;
    readonly grpcServer: GrpcServer;
    readonly handler: CountingPeerHandler;
    readonly address: string;
    lastError?: unknown;
}

/** Servers, and errors of parsing settings, by scenario. */
const servers = new WeakMap<Scenario, PeerServer>();
const settingsErrors = new WeakMap<Scenario, SettingsError | undefined>();

/** Handler that counts the probes that reach it. */
class CountingPeerHandler extends PeerHandler {
    probeCount = 0;

    override async probe(): Promise<wire.ProbeReply> {
        this.probeCount += 1;
        return { node: "entry-1", wallMs: 1, counter: 0, configurationVersion: 0, protocol: 1, members: [] };
    }

    override async probeIndirectly(): Promise<wire.RelayReply> {
        return { reached: false, members: [] };
    }

    override async exchange(): Promise<wire.ExchangeReply> {
        throw new Error("Cannot exchange: this peer only counts probes");
    }
}

After(async function(this: Scenario) {
    const peerServer = servers.get(this);
    peerServer?.grpcServer.close();
    if (peerServer !== undefined) {
        await rm(peerServer.folder, { recursive: true });
    }
});

Given("a TLS peer server with the certificate {string}", async function(this: Scenario, name: string) {
    const folder = await mkdtemp(join(tmpdir(), "foxtailrail-tls-"));
    await copyFile(join(CERTIFICATES_FOLDER, "ca.crt"), join(folder, "ca.crt"));
    await installCertificate(folder, name);
    const certificateFiles = new CertificateFiles({
        certificateFile: join(folder, "own.crt"),
        keyFile: join(folder, "own.key"),
        caFile: join(folder, "ca.crt"),
    });
    const handler = new CountingPeerHandler();
    const grpcServer = new GrpcServer({
        services: [peerService(handler, new PeerAuthorizer(true))],
        credentials: certificateFiles.serverCredentials(),
    });
    const port = await grpcServer.listen("127.0.0.1", 0);
    servers.set(this, { folder, certificateFiles, grpcServer, handler, address: `127.0.0.1:${port}` });
});

When(/^it is probed by a client with (?:the certificate "(.*)"|(no certificate|plain text))$/, async function(
    this: Scenario,
    name: string | undefined,
    insecureMode: string | undefined,
) {
    const peerServer = serverOf(this);
    const client = new GrpcPeerClient(await makeClientCredentials(name, insecureMode));
    peerServer.lastError = undefined;
    try {
        const request = { node: "entry-2", wallMs: 1, counter: 0, protocol: 1, members: [], target: "entry-1" };
        await client.probe(peerServer.address, request, PROBE_TIMEOUT_MS);
    }
    catch (error) {
        peerServer.lastError = error;
    }
    client.close();
});

When("the server's certificate files are replaced by those of {string}", async function(this: Scenario, name: string) {
    await installCertificate(serverOf(this).folder, name);
    serverOf(this).certificateFiles.reload();
});

When(
    /^the server's certificate files (hold no certificate|hold the key of "operator"|are gone|name a broken second CA)$/,
    async function(
        this: Scenario,
        fault: string,
    ) {
        const { folder, certificateFiles } = serverOf(this);
        switch (fault) {
            case "hold no certificate":
                await writeFile(join(folder, "own.crt"), "half a file");
                break;
            case "name a broken second CA":
                await appendFile(join(folder, "ca.crt"), BROKEN_CERTIFICATE);
                break;
            case "are gone":
                await rm(join(folder, "own.crt"));
                break;
            default:
                await copyFile(join(CERTIFICATES_FOLDER, "operator.key"), join(folder, "own.key"));
        }
        try {
            certificateFiles.reload();
        }
        catch (error) {
            serverOf(this).lastError = error;
        }
    },
);

When(/^settings with (.*) are read$/, async function(this: Scenario, tls: string) {
    const text = [
        "node: entry-1",
        "failureDomain: sul-a",
        "listen: { callers: 127.0.0.1:7001, peers: 127.0.0.1:7002 }",
        "platform: { log: 127.0.0.1:1, vmList: 127.0.0.1:2, weightStore: 127.0.0.1:3 }",
        `operators: [{ name: ana, keyHash: ${"a".repeat(64)} }]`,
        tls === "no tls field" ? "" : tls,
    ].join("\n");
    try {
        parseSettings(text, "entry-1.yaml");
        settingsErrors.set(this, undefined);
    }
    catch (error) {
        assert.ok(error instanceof SettingsError);
        settingsErrors.set(this, error);
    }
});

Then("the probe is answered", function(this: Scenario) {
    assert.equal(serverOf(this).lastError, undefined);
});

Then("the probe is refused", function(this: Scenario) {
    assert.ok(serverOf(this).lastError instanceof PeerError);
});

Then("the server has handled {int} probes", function(this: Scenario, count: number) {
    assert.equal(serverOf(this).handler.probeCount, count);
});

Then("the server's certificate expires in the year {int}", function(this: Scenario, year: number) {
    assert.equal(new Date(serverOf(this).certificateFiles.expiresAtMs).getUTCFullYear(), year);
});

Then("the reload fails with {string}", function(this: Scenario, message: string) {
    const { lastError } = serverOf(this);
    assert.ok(lastError instanceof CertificateError);
    assert.ok(lastError.message.includes(message), lastError.message);
});

Then(/^the settings are (?:valid|rejected with "(.*)")$/, function(this: Scenario, message: string | undefined) {
    const error = settingsErrors.get(this);
    if (message === undefined) {
        assert.equal(error, undefined);
        return;
    }
    assert.equal(error?.problems.length, 1);
    assert.ok(error.problems[0].includes("tls"), error.problems[0]);
    assert.ok(error.problems[0].includes(message), error.problems[0]);
});

function serverOf(scenario: Scenario): PeerServer {
    const peerServer = servers.get(scenario);
    if (peerServer === undefined) {
        throw new Error("Cannot use the server: no step has started it");
    }
    return peerServer;
}

async function installCertificate(folder: string, name: string): Promise<void> {
    await copyFile(join(CERTIFICATES_FOLDER, `${name}.crt`), join(folder, "own.crt"));
    await copyFile(join(CERTIFICATES_FOLDER, `${name}.key`), join(folder, "own.key"));
}

async function makeClientCredentials(name: string | undefined, insecureMode: string | undefined) {
    if (insecureMode === "plain text") {
        return credentials.createInsecure();
    }
    const caFile = join(CERTIFICATES_FOLDER, "ca.crt");
    if (insecureMode === "no certificate") {
        return credentials.createSsl(await readFile(caFile));
    }
    const certificateFile = join(CERTIFICATES_FOLDER, `${name}.crt`);
    return new CertificateFiles({ certificateFile, keyFile: join(CERTIFICATES_FOLDER, `${name}.key`), caFile })
        .channelCredentials();
}
