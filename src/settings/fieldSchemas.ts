/** Schemas of single fields that may be written in more than one way. */

import { z } from 'zod'
import { parseAddress } from '../core/address.js'

const MAX_PORT = 65_535

const isPort = (port: number): boolean => port >= 1 && port <= MAX_PORT

const parseNumber = (value: unknown): unknown => typeof value === 'string' && value.trim() !== '' && !Number.isNaN(Number(value)) ? Number(value) : value

const splitText = (value: unknown): unknown => typeof value === 'string' ? value.split(',').map(part => part.trim()) : value

/** `IP:PORT`. */
export const endpointField = z.string().regex(/^[0-9.]+:[0-9]+$/).refine(text => isPort(parseAddress(text).port), 'not a port')

/** A field that may be missing or null. */
export const optionalField = <Schema extends z.ZodType, Fallback>(schema: Schema, fallback: Fallback): z.ZodType<z.output<Schema> | Fallback> =>
  schema.nullish().transform(value => value ?? fallback)

/** A number, which may be given as text. */
export const numberField = (schema: z.ZodNumber): z.ZodType<number> => z.preprocess(parseNumber, schema)

/** A port. */
export const portField = numberField(z.number().int().min(1).max(MAX_PORT))

/** A list of texts, which may be given as one text with commas between them. */
export const listField: z.ZodType<string[]> = z.preprocess(splitText, z.array(z.string()))
