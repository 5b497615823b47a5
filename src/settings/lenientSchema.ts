/** Schemas for settings files that other programs write: absent values may be null, and numbers may be given as text. */

import { z } from 'zod'
import { parseAddress } from '../core/address.js'

const BYTE_ORDER_MARK = '\uFEFF'
const MAX_PORT = 65_535

/** Returns a text without the byte order mark that some editors write first. */
export const withoutByteOrderMark = (text: string): string => text.startsWith(BYTE_ORDER_MARK) ? text.slice(BYTE_ORDER_MARK.length) : text

/** A value that may be absent or null, in place of which the fallback is returned. */
export const optional = <Schema extends z.ZodType, Fallback>(schema: Schema, fallback: Fallback): z.ZodType<z.output<Schema> | Fallback> =>
  schema.nullish().transform(value => value ?? fallback)

const parseNumber = (value: unknown): unknown => typeof value === 'string' && value.trim() !== '' && !Number.isNaN(Number(value)) ? Number(value) : value

/** A number, which may be given as text. */
export const number = (schema: z.ZodNumber): z.ZodType<number> => z.preprocess(parseNumber, schema)

/** A port. */
export const port = number(z.number().int().min(1).max(MAX_PORT))

const hasPort = (text: string): boolean => port.safeParse(parseAddress(text).port).success

/** An IPv4 address and a port, as `ADDRESS:PORT`. */
export const endpoint = z.string().regex(/^[0-9.]+:[0-9]+$/).refine(hasPort, 'not a port')
