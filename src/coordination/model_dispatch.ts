/**
 * Dispatch of a model call with a streamed or buffered answer.
 *
 * @module
 */

import {
    type AnswerIdentity,
    type AnswerWriter,
    ChunkEncoder,
    DispatchError,
    DispatchFault,
    DispatchStep,
    encodeCompletion,
    type Engine,
    type EngineEnd,
    type EngineToken,
} from "../protocol/mod.js";
import type { CallScope } from "./_call_scope.js";
import type { DispatchPermit } from "./dispatch_guard.js";
import type { Dispatch } from "./dispatcher.js";
import type { Assignment } from "./scheduler.js";

/** Settings of a {@linkcode ModelDispatch}. */
export interface ModelDispatchSettings {
    readonly scope: CallScope;
    readonly permit: DispatchPermit;
    readonly engine: Engine;
    readonly writer: AnswerWriter;
    /** Model name written to the answer. */
    readonly model: string;
    /** Called for each token as it is received. */
    readonly onToken: (isFirst: boolean) => void;
}

/** Relays the answer of a model to the caller; a retry resumes after the last token received by earlier attempts. */
export class ModelDispatch implements Dispatch {
    readonly scope: CallScope;
    readonly permit: DispatchPermit;
    private readonly tokenTexts: string[] = [];
    private readonly identity: AnswerIdentity;
    private readonly encoder: ChunkEncoder;

    /** @param settings See {@linkcode ModelDispatchSettings}. */
    constructor(private readonly settings: ModelDispatchSettings) {
        this.scope = settings.scope;
        this.permit = settings.permit;
        this.identity = { id: settings.scope.call.incoming.id, model: settings.model };
        this.encoder = new ChunkEncoder(this.identity);
    }

    receivedTokens(): number {
        return this.tokenTexts.length;
    }

    async attempt(assignment: Assignment, signal: AbortSignal): Promise<void> {
        const { incoming } = this.scope.call;
        const { vm } = assignment.server;
        const request = { id: incoming.id, body: incoming.body, fromToken: this.tokenTexts.length };
        for await (const event of this.settings.engine.generate(vm, request, signal)) {
            if (event.kind === "end") {
                this.checkTokenCount(event.end, vm.id);
                assignment.recordEnd(event.end);
                await this.finish(event.end);
                return;
            }
            assignment.recordToken();
            await this.receiveToken(event.token, vm.id);
        }
        throw this.toBrokenStreamError(vm.id, "the stream ended without its last event");
    }

    private async receiveToken(token: EngineToken, peer: string): Promise<void> {
        if (token.index !== this.tokenTexts.length) {
            throw this.toBrokenStreamError(peer, `token ${token.index} came in place of token ${this.tokenTexts.length}`);
        }
        this.settings.onToken(this.tokenTexts.length === 0);
        this.tokenTexts.push(token.text);
        if (this.scope.call.streamed) {
            this.startStream();
            await this.settings.writer.write(this.encoder.encodeText(token.text));
        }
    }

    private checkTokenCount(end: EngineEnd, peer: string): void {
        if (end.outputTokens !== this.tokenTexts.length) {
            throw this.toBrokenStreamError(peer, `the answer has ${end.outputTokens} tokens and ${this.tokenTexts.length} came`);
        }
    }

    private async finish(end: EngineEnd): Promise<void> {
        const { writer } = this.settings;
        if (!this.scope.call.streamed) {
            const body = encodeCompletion({ ...this.identity, ...end, text: this.tokenTexts.join("") });
            writer.writeComplete({ status: 200, contentType: "application/json" }, body);
            return;
        }
        this.startStream();
        await writer.write(this.encoder.encodeEnd(end.finishReason));
        writer.end();
    }

    private startStream(): void {
        if (!this.settings.writer.started) {
            this.settings.writer.writeHead({ status: 200, contentType: "text/event-stream" });
        }
    }

    private toBrokenStreamError(peer: string, reason: string): DispatchError {
        return new DispatchError({ fault: DispatchFault.Broken, step: DispatchStep.ReadBody, peer, cause: new Error(reason) });
    }
}
