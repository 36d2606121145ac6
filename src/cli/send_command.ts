/**
 * Command `foxtailrail send`.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { request } from "undici";
import { ExitCode } from "./operator_command.js";

/** Lowest HTTP status that means a refusal or failure. */
const MIN_ERROR_STATUS = 400;

/** Sends one call as a caller. */
export class SendCommand extends Command {
    static override paths = [["send"]];
    static override usage = Command.Usage({
        category: "Calls",
        description: "Sends one call as a caller and prints the answer.",
        examples: [
            [
                "Ask a model",
                "foxtailrail send --to 127.0.0.1:7101 --workspace-key clinic-key --operation eligibility-flag --prompt 'Is this heir eligible?'",
            ],
            [
                "Call a plain service",
                "foxtailrail send --to 127.0.0.1:7101 --workspace-key clinic-key --service case-management --path /claims --key claim-17 --body '{}'",
            ],
        ],
    });

    to = Option.String("--to", { required: true, description: "IP address and port of a daemon for callers." });
    workspaceKey = Option.String("--workspace-key", { required: true, description: "Bearer key of the workspace." });
    operation = Option.String("--operation", { description: "Operation of a model call." });
    prompt = Option.String("--prompt", "", { description: "Prompt of a model call." });
    stream = Option.Boolean("--stream", false, { description: "Stream the answer of a model call." });
    service = Option.String("--service", { description: "Plain service to call." });
    servicePath = Option.String("--path", "/", { description: "Path below the plain service." });
    method = Option.String("--method", "POST", { description: "HTTP method of a plain-service call." });
    body = Option.String("--body", { description: "Body of a plain-service call." });
    key = Option.String("--key", { description: "Idempotency key." });

    override async execute(): Promise<number> {
        const headers: Record<string, string> = {
            authorization: `Bearer ${this.workspaceKey}`,
            "content-type": "application/json",
        };
        if (this.key !== undefined) {
            headers["idempotency-key"] = this.key;
        }
        try {
            const httpRequest = this.buildRequest(headers);
            const response = await request(`http://${this.to}${httpRequest.path}`, {
                method: httpRequest.method as "POST",
                headers,
                body: httpRequest.body,
            });
            for await (const chunk of response.body) {
                this.context.stdout.write(chunk as Buffer);
            }
            this.context.stdout.write("\n");
            return response.statusCode < MIN_ERROR_STATUS ? ExitCode.Success : ExitCode.Refused;
        }
        catch (error) {
            if (error instanceof UsageError) {
                throw error;
            }
            this.context.stderr.write(`Cannot send to ${this.to}: ${(error as Error).message}\n`);
            return ExitCode.Unreachable;
        }
    }

    /** Builds the request, and adds the headers of a model call. */
    private buildRequest(headers: Record<string, string>): HttpRequest {
        if (this.service !== undefined) {
            return { method: this.method, path: `/v1/services/${this.service}${this.servicePath}`, body: this.body };
        }
        if (this.operation === undefined) {
            throw new UsageError(
                "Options --operation and --service are missing; give --operation for a model call, or --service for a plain service.",
            );
        }
        headers["foxtailrail-operation"] = this.operation;
        const messages = [{ role: "user", content: this.prompt }];
        const body = JSON.stringify({ model: "default", stream: this.stream, messages });
        return { method: "POST", path: "/v1/chat/completions", body };
    }
}

/** Method, path and body of a call. */
interface HttpRequest {
    readonly method: string;
    readonly path: string;
    readonly body: string | undefined;
}
