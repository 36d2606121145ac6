/**
 * The chat-completions convention that callers use.
 *
 * @module
 */

import { z } from "zod";
import { Refusal, RefusalType } from "./refusal.js";
import { describeIssue } from "./schema_problem.js";

/** Most tokens that an answer may have when the caller names no limit. */
const DEFAULT_MAX_OUTPUT_TOKENS = 512;

/** Most tokens that a caller may ask for. */
const MAX_OUTPUT_TOKENS = 16_384;

/** Bytes of text that make up one token, on average. */
const BYTES_PER_TOKEN = 4;

const messageSchema = z.looseObject({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.string(),
});

const chatCompletionSchema = z.looseObject({
    model: z.string().min(1),
    messages: z.array(messageSchema).min(1),
    stream: z.boolean().default(false),
    max_tokens: z.int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_MAX_OUTPUT_TOKENS),
});

/** What the scheduler needs of a chat-completions request. */
export interface ChatCompletion {
    readonly model: string;
    readonly streamed: boolean;
    readonly maxOutputTokens: number;
    /** Estimated length of the prompt in tokens. */
    readonly promptTokens: number;
}

/**
 * Reads and checks a chat-completions body.
 *
 * @param body Body as JSON.
 * @throws {Refusal} When the body is malformed; the refusal names the field.
 */
export function parseChatCompletion(body: Buffer): ChatCompletion {
    const result = chatCompletionSchema.safeParse(parseJson(body));
    if (!result.success) {
        const problem = describeIssue(result.error.issues[0], "body");
        throw new Refusal(RefusalType.InvalidRequest, problem.text, { field: problem.path });
    }
    const promptBytes = result.data.messages.reduce((sum, message) => sum + message.content.length, 0);
    return {
        model: result.data.model,
        streamed: result.data.stream,
        maxOutputTokens: result.data.max_tokens,
        promptTokens: Math.max(1, Math.ceil(promptBytes / BYTES_PER_TOKEN)),
    };
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (cause) {
        throw new Refusal(RefusalType.InvalidRequest, `Body is not JSON: ${(cause as Error).message}. Send a JSON object.`, {
            field: "body",
        });
    }
}

/** Who answers whom: what all parts of one answer carry. */
export interface AnswerIdentity {
    readonly id: string;
    readonly model: string;
}

/** Marker that ends a whole streamed answer. */
const STREAM_END = "data: [DONE]\n\n";

/** Writes the chunks of one streamed answer as server-sent events. */
export class ChunkEncoder {
    private readonly prefix: string;

    /** @param identity Id and model that each chunk carries. */
    constructor(identity: AnswerIdentity) {
        const head = JSON.stringify({ id: identity.id, object: "chat.completion.chunk", model: identity.model });
        this.prefix = `data: ${head.slice(0, -1)},"choices":[{"index":0,"delta":`;
    }

    /** Writes a chunk that carries text. */
    encodeText(text: string): Buffer {
        return Buffer.from(`${this.prefix}{"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`);
    }

    /** Writes the last chunk and the marker after it. */
    encodeEnd(finishReason: string): Buffer {
        return Buffer.from(`${this.prefix}{},"finish_reason":${JSON.stringify(finishReason)}}]}\n\n${STREAM_END}`);
    }
}

/** Settings of a whole answer. */
export interface CompletionSettings extends AnswerIdentity {
    readonly text: string;
    readonly finishReason: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/**
 * Writes a whole answer.
 *
 * @param settings See {@linkcode CompletionSettings}.
 */
export function encodeCompletion(settings: CompletionSettings): Buffer {
    const message = { role: "assistant", content: settings.text };
    const usage = {
        prompt_tokens: settings.promptTokens,
        completion_tokens: settings.outputTokens,
        total_tokens: settings.promptTokens + settings.outputTokens,
    };
    const choices = [{ index: 0, message, finish_reason: settings.finishReason }];
    return Buffer.from(JSON.stringify({ id: settings.id, object: "chat.completion", model: settings.model, choices, usage }));
}
