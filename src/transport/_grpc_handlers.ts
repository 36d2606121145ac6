/**
 * Parts that the gRPC services share.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, type ServiceError, status } from "@grpc/grpc-js";

/** Metadata field that carries the operator's key. */
export const OPERATOR_KEY_FIELD = "foxtailrail-operator-key";

/** Finds the operator who owns a key. */
export type FindOperator = (key: string | undefined) => string | undefined;

/** Answers one call. */
export type UnaryAnswer<Request, Reply> = (request: Request) => Promise<Reply>;

/** Answers one call of an operator, whose name comes from the key. */
export type OperatorAnswer<Request, Reply> = (request: Request, operator: string) => Promise<Reply>;

/** Returns the handler of a call that needs no key. */
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
 * Returns the handler of a call that needs an operator's key; without one nothing is done.
 *
 * @param findOperator Finds the owner of a key.
 * @param answer Answers the call.
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

/** Returns the operator's key that a call carries. */
export function readOperatorKey(metadata: Metadata): string | undefined {
    return metadata.get(OPERATOR_KEY_FIELD)[0]?.toString();
}

/** Returns the error of a call without an operator's key; it never names the key. */
export function unauthenticatedError(): Partial<ServiceError> & Error {
    const details = "Cannot answer: the call carries no operator's key; name a key file with --key-file.";
    return Object.assign(new Error(details), { code: status.UNAUTHENTICATED, details, metadata: new Metadata() });
}
