/**
 * Parsing and encoding of the chat-completions API that callers use.
 *
 * @module
 */

import { z } from "zod";
import { hashPrefix } from "./prefix_blocks.js";
import { Refusal, RefusalType } from "./refusal.js";
import { describeIssue } from "./schema_problem.js";

/** Maximum number of tokens in an answer when the caller sets no limit. */
const DEFAULT_MAX_OUTPUT_TOKENS = 512;

/** Largest limit of answer tokens that a caller may set. */
const MAX_OUTPUT_TOKENS = 16_384;

/** Average number of bytes of text per token. */
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

/** Fields of a chat-completions request that scheduling needs. */
export interface ChatCompletion {
    readonly model: string;
    readonly streamed: boolean;
    readonly maxOutputTokens: number;
    /** Estimated length of the prompt in tokens. */
    readonly promptTokens: number;
    /** Hashes of the prompt's prefix blocks. */
    readonly prefixBlocks: readonly string[];
}

/**
 * Parses and validates the body of a chat-completions request.
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
    const prompt = result.data.messages.map(message => message.content).join("\n");
    return {
        model: result.data.model,
        streamed: result.data.stream,
        maxOutputTokens: result.data.max_tokens,
        promptTokens: Math.max(1, Math.ceil(prompt.length / BYTES_PER_TOKEN)),
        prefixBlocks: hashPrefix(prompt),
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

/** Fields that every chunk of one answer repeats. */
export interface AnswerIdentity {
    readonly id: string;
    readonly model: string;
}

/** Event that marks a streamed answer as complete. */
const STREAM_END = "data: [DONE]\n\n";

/** Encodes the chunks of one streamed answer as server-sent events. */
export class ChunkEncoder {
    private readonly prefix: string;

    /** @param identity Id and model that each chunk repeats. */
    constructor(identity: AnswerIdentity) {
        const head = JSON.stringify({ id: identity.id, object: "chat.completion.chunk", model: identity.model });
        this.prefix = `data: ${head.slice(0, -1)},"choices":[{"index":0,"delta":`;
    }

    /** Encodes a chunk of text. */
    encodeText(text: string): Buffer {
        return Buffer.from(`${this.prefix}{"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`);
    }

    /** Encodes the last chunk and the end-of-stream event. */
    encodeEnd(finishReason: string): Buffer {
        return Buffer.from(`${this.prefix}{},"finish_reason":${JSON.stringify(finishReason)}}]}\n\n${STREAM_END}`);
    }
}

/** Contents of a complete answer that is not streamed. */
export interface CompletionSettings extends AnswerIdentity {
    readonly text: string;
    readonly finishReason: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/**
 * Encodes a complete answer that is not streamed.
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
