// ESLint rules for listeners: all of them are opened by HttpListener, which contains the errors of their handlers.

const ADVICE = 'listeners are opened by HttpListener (src/process/httpListener.ts), which contains the errors of their handlers'

/** Modules that can open a listener, with the exports that do. A default import has them all. */
const LISTENING_EXPORTS = {
  http: ['createServer', 'Server'],
  https: ['createServer', 'Server'],
  http2: ['createServer', 'createSecureServer'],
  net: ['createServer', 'Server'],
  tls: ['createServer', 'Server'],
  dgram: ['createSocket', 'Socket']
}

const paths = [{ name: 'ws', importNames: ['Server', 'default'], message: ADVICE }]
for (const [name, exports] of Object.entries(LISTENING_EXPORTS)) {
  for (const module of [name, `node:${name}`]) paths.push({ name: module, importNames: [...exports, 'default'], message: ADVICE })
}

/** Options of `no-restricted-imports`. */
export const listenerImports = { paths, patterns: [{ group: ['**/process/listen.js'], message: ADVICE }] }

/** Options of `no-restricted-syntax`. */
export const listenerSyntax = [
  { selector: "NewExpression[callee.name='WebSocketServer']:not(:has(Property[key.name='noServer'][value.value=true]))", message: ADVICE },
  { selector: "ImportSpecifier[imported.name='WebSocketServer']:not([local.name='WebSocketServer'])", message: ADVICE },
  { selector: 'ImportExpression[source.value=/^(node:)?(https?|http2|net|tls|dgram|ws)$/]', message: ADVICE },
  { selector: "CallExpression[callee.name='require']", message: 'use import' }
]
