// Fails on import cycles between source files, since such files can only be
// understood and tested together.
import {readFileSync, readdirSync} from 'node:fs';
import {dirname, join, normalize} from 'node:path';
import {preProcessFile} from 'typescript';

function listSourceFiles(folder) {
  return readdirSync(folder, {recursive: true, withFileTypes: true})
    .filter(entry => entry.isFile() && entry.name.endsWith('.ts'))
    .map(entry => join(entry.parentPath, entry.name))
    .filter(file => !/(^|\/)(node_modules|dist)\//.test(file));
}

const files = new Set([
  ...listSourceFiles('packages'),
  ...listSourceFiles('platform'),
]);
const imports = new Map();
for (const file of files) {
  const {importedFiles} = preProcessFile(readFileSync(file, 'utf8'));
  const localImports = importedFiles
    .filter(({fileName}) => fileName.startsWith('.'))
    .map(({fileName}) =>
      normalize(join(dirname(file), fileName)).replace(/\.js$/, '.ts'),
    )
    .filter(name => files.has(name));
  imports.set(file, localImports);
}

const visited = new Set();
const path = [];
let cycleCount = 0;

function visit(file) {
  if (visited.has(file)) {
    return;
  }
  const start = path.indexOf(file);
  if (start >= 0) {
    cycleCount += 1;
    console.error(`import cycle: ${[...path.slice(start), file].join(' -> ')}`);
    return;
  }
  path.push(file);
  for (const imported of imports.get(file)) {
    visit(imported);
  }
  path.pop();
  visited.add(file);
}

for (const file of files) {
  visit(file);
}
process.exitCode = cycleCount === 0 ? 0 : 1;
