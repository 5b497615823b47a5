/** Renders the reference page of the settings from the schema. */

import { z } from 'zod'
import { controlSettingsSchema, entrySettingsSchema } from './settingsSchema.js'

interface SchemaNode {
  readonly type?: string
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly anyOf?: readonly SchemaNode[]
  readonly properties?: Readonly<Record<string, SchemaNode>>
  readonly required?: readonly string[]
  readonly items?: SchemaNode
  readonly minimum?: number
  readonly maximum?: number
  readonly pattern?: string
  readonly default?: unknown
  readonly description?: string
}

const allowedValues = (node: SchemaNode): string => {
  if (node.const !== undefined) return `\`${String(node.const)}\``
  if (node.enum !== undefined) return node.enum.map(value => `\`${String(value)}\``).join(', ')
  if (node.anyOf !== undefined) return 'IPv4 or IPv6 address'
  if (node.type === 'array') return 'list'
  if (node.minimum !== undefined || node.maximum !== undefined) {
    const upperBound = node.maximum === undefined || node.maximum >= Number.MAX_SAFE_INTEGER ? 'up' : `to ${node.maximum}`
    return `${node.type ?? ''} from ${node.minimum ?? 0} ${upperBound}`
  }
  return node.type ?? ''
}

const renderRows = (node: SchemaNode, path: string): string[] => {
  const rows: string[] = []
  for (const [key, child] of Object.entries(node.properties ?? {})) {
    const childPath = path === '' ? key : `${path}.${key}`
    const children = renderRows(child.type === 'array' ? child.items ?? {} : child, child.type === 'array' ? `${childPath}[]` : childPath)
    const isRequired = node.required?.includes(key) === true && child.default === undefined
    const defaultValue = child.default === undefined || typeof child.default === 'object' ? '' : `\`${String(child.default)}\``
    const defaultText = isRequired ? 'required' : defaultValue
    rows.push(`| \`${childPath}\` | ${children.length > 0 && child.type !== 'array' ? 'group' : allowedValues(child)} | ${defaultText} | ${child.description ?? ''} |`)
    rows.push(...children)
  }
  return rows
}

const renderSection = (title: string, schema: z.ZodType): string[] => {
  const node = z.toJSONSchema(schema, { io: 'input' }) as SchemaNode
  return [`## ${title}`, '', '| setting | allowed | default | meaning |', '|---|---|---|---|', ...renderRows(node, ''), '']
}

/** Returns the page as Markdown. */
export const renderSettingsReference = (): string => [
  '# Settings',
  '',
  'Generated from the schema by `npm run docs`. To change this page, edit `src/settings/settingsSchema.ts`.',
  'Settings are YAML. Unknown keys are errors. Paths are relative to the folder of the settings file.',
  '`rhubarbseam check --config FILE` reports every problem with its path, the value found and the allowed values.',
  '',
  ...renderSection('Entry host', entrySettingsSchema),
  ...renderSection('Control host', controlSettingsSchema)
].join('\n')
