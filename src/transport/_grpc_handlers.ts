/**
 * Handlers of unary gRPC calls, shared by the services.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, type ServiceError, status } from "@grpc/grpc-js";

/** Metadata field that carries the operator's key. */
export const OPERATOR_KEY_FIELD = "foxtailrail-operator-key";

/** Returns the name of the operator who owns a key, or `undefined` if nobody does. */
export type FindOperator = (key: string | undefined) => string | undefined;

/** Computes the reply to a unary call. */
export type UnaryAnswer<Request, Reply> = (request: Request) => Promise<Reply>;

/** Computes the reply to a unary call of an operator, whose name is looked up by the key. */
export type OperatorAnswer<Request, Reply> = (request: Request, operator: string) => Promise<Reply>;

/** Returns a gRPC handler that replies with the result of a function. Errors become status `INTERNAL`. */
export function unaryHandler<Request, Reply>(answer: UnaryAnswer<Request, Reply>): handleUnaryCall<Request, Reply> {
    return (call, callback) => {
        answer(call.request).then(
            // The library's callback type has null for "no error".
            // eslint-disable-next-line no-restricted-syntax
            reply => callback(null, reply),
            (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
        );
    };
}

/**
 * Returns a gRPC handler that requires an operator's key and rejects other calls before any work is done.
 *
 * @param findOperator Looks up the owner of a key.
 * @param answer Computes the reply.
 */
export function operatorHandler<Request, Reply>(
    findOperator: FindOperator,
    answer: OperatorAnswer<Request, Reply>,
): handleUnaryCall<Request, Reply> {
    return (call, callback) => {
        const operator = findOperator(readOperatorKey(call.metadata));
        if (operator === undefined) {
            callback(unauthenticatedError());
            return;
        }
        unaryHandler<Request, Reply>(request => answer(request, operator))(call, callback);
    };
}

/** Returns the operator's key from the metadata of a call. */
export function readOperatorKey(metadata: Metadata): string | undefined {
    return metadata.get(OPERATOR_KEY_FIELD)[0]?.toString();
}

/** Returns the error for a call without a valid operator's key. Its text never contains the key. */
export function unauthenticatedError(): Partial<ServiceError> & Error {
    const details = "Cannot answer: the call carries no operator's key; name a key file with --key-file.";
    return Object.assign(new Error(details), { code: status.UNAUTHENTICATED, details, metadata: new Metadata() });
}
