/** Schemas of lists from outside that stop at the first invalid item, since a list of errors takes far more memory than the input. */

import { z } from 'zod'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { firstIssue } from './jsonBody.js'

/** Validates items one after another. Returns the first error as `PATH.INDEX.REST: MESSAGE`. */
export const parseEach = <Item> (schema: z.ZodType<Item>, items: readonly unknown[], path: string): Outcome<Item[], string> => {
  const parsed: Item[] = []
  for (const [index, item] of items.entries()) {
    const outcome = schema.safeParse(item)
    if (!outcome.success) return fail(`${path}.${index}.${firstIssue(outcome.error)}`)
    parsed.push(outcome.data)
  }
  return ok(parsed)
}

/** A list of at most `max` items, whose items are looked at only if it is no longer. */
export const boundedList = <Schema extends z.ZodType> (schema: Schema, max: number): z.ZodType<Array<z.output<Schema>>> =>
  z.array(z.unknown()).max(max).pipe(z.array(schema)) as unknown as z.ZodType<Array<z.output<Schema>>>
