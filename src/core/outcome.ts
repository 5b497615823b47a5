/** Result type: an operation that can fail returns a tagged success or failure instead of throwing. */

/** A success with its value. */
export interface Success<T> { readonly tag: 'ok', readonly value: T }
/** A failure with its error. */
export interface Failure<E> { readonly tag: 'error', readonly error: E }
/** A success or a failure, told apart by `tag`. */
export type Outcome<T, E> = Success<T> | Failure<E>

/** Creates a success. */
export const ok = <T>(value: T): Success<T> => ({ tag: 'ok', value })
/** Creates a failure. */
export const fail = <E>(error: E): Failure<E> => ({ tag: 'error', error })

/** Thrown when an invariant does not hold: the process stops instead of acting on an invalid state. */
export class InvariantViolation extends Error {
  override readonly name = 'InvariantViolation'
}

/** Asserts a condition. Throws an InvariantViolation if it is false. */
export function invariant (condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantViolation(message)
}
