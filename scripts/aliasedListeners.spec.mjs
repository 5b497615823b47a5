import t from 'tap'
import { Linter } from 'eslint'
import { listenerImports, listenerSyntax } from './listenerRules.mjs'

// Guards against a listener outside HttpListener that the lint rule misses because its class has another name.

t.test('a server of the link library under another name is an error', async t => {
  const code = "import { WebSocketServer as Sockets } from 'ws'\nexport const sockets = new Sockets({ port: 1 })"
  const found = new Linter().verify(code, { rules: { 'no-restricted-imports': ['error', listenerImports], 'no-restricted-syntax': ['error', ...listenerSyntax] } })
  t.equal(found.length, 1)
})
