/** Reads and validates a settings file. Every problem names its path, the value found and the allowed values. */

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { parseDocument } from 'yaml'
import type { z } from 'zod'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { settingsSchema } from './settingsSchema.js'
import type { Settings } from './settingsSchema.js'

/** The reason why settings cannot be used. */
export type SettingsError =
  | { readonly kind: 'file-unreadable', readonly path: string, readonly reason: string }
  | { readonly kind: 'yaml-malformed', readonly reason: string }
  | { readonly kind: 'settings-invalid', readonly problems: readonly string[] }

const describeValue = (value: unknown): string => {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value) ?? String(value)
  return text.length > 60 ? `${text.slice(0, 57)}...` : text
}

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown => {
  let value = root
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[key]
  }
  return value
}

const describeIssue = (root: unknown, issue: z.core.$ZodIssue): string => {
  const path = issue.path.map(String).join('.') || '(top)'
  if (issue.code === 'unrecognized_keys') return `${path}: unknown key ${issue.keys.map(key => `"${key}"`).join(', ')}`
  return `${path}: found ${describeValue(valueAt(root, issue.path))}; ${issue.message}`
}

/** Validates parsed settings. */
export const validateSettings = (raw: unknown): Outcome<Settings, SettingsError> => {
  const parsed = settingsSchema.safeParse(raw)
  if (parsed.success) return ok(parsed.data)
  return fail({ kind: 'settings-invalid', problems: parsed.error.issues.map(issue => describeIssue(raw, issue)) })
}

const malformed = (error: unknown): SettingsError =>
  ({ kind: 'yaml-malformed', reason: error instanceof Error ? error.message.split('\n', 1)[0] ?? '' : 'unreadable' })

/** Parses and validates settings in YAML. */
export const parseSettings = (text: string): Outcome<Settings, SettingsError> => {
  const document = parseDocument(text)
  const problem = document.errors[0]
  if (problem !== undefined) return fail(malformed(problem))
  let raw: unknown
  try {
    raw = document.toJS()
  } catch (error) {
    // For example an alias without its anchor.
    return fail(malformed(error))
  }
  return validateSettings(raw)
}

const pathSettings = ['fleetKeyFile', 'announcementKeyFile', 'clientBlocksFile', 'operatorsFile', 'dataFolder', 'recordFile'] as const

// Paths in a settings file are relative to the folder of that file.
const resolvePaths = (settings: Settings, folder: string): Settings => {
  const resolved: Record<string, unknown> = { ...settings }
  for (const key of pathSettings) {
    const value = resolved[key]
    if (typeof value === 'string') resolved[key] = resolve(folder, value)
  }
  return resolved as Settings
}

/** Reads and validates a settings file. */
export const loadSettings = (path: string): Outcome<Settings, SettingsError> => {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return fail({ kind: 'file-unreadable', path, reason: error instanceof Error ? error.message : 'unreadable' })
  }
  const parsed = parseSettings(text)
  return parsed.tag === 'ok' ? ok(resolvePaths(parsed.value, dirname(resolve(path)))) : parsed
}

/** Formats an error as lines, one per problem. */
export const describeSettingsError = (error: SettingsError): readonly string[] => {
  if (error.kind === 'file-unreadable') return [`cannot read ${error.path}: ${error.reason}`]
  if (error.kind === 'yaml-malformed') return [`not YAML: ${error.reason}`]
  return error.problems
}
