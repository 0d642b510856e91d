import type {TaskName} from '../messages/index.js';
import type {PlugIn} from './types.js';

/**
 * Sorts plug-ins so that each comes after its dependencies.
 *
 * @throws Error on a duplicate name, a dependency cycle or an unknown
 *     dependency; all of these are programming errors.
 */
export function computeStartOrder(
  plugIns: readonly PlugIn[],
): readonly PlugIn[] {
  const byName = new Map<TaskName, PlugIn>();
  for (const plugIn of plugIns) {
    if (byName.has(plugIn.name)) {
      throw new Error(`plug-in ${plugIn.name} is registered twice`);
    }
    byName.set(plugIn.name, plugIn);
  }
  const ordered: PlugIn[] = [];
  const visited = new Set<TaskName>();
  const visiting = new Set<TaskName>();

  function visit(name: TaskName, dependent: string): void {
    if (visited.has(name)) {
      return;
    }
    const plugIn = byName.get(name);
    if (!plugIn) {
      throw new Error(`${dependent} depends on unknown plug-in ${name}`);
    }
    if (visiting.has(name)) {
      throw new Error(`dependency cycle through plug-in ${name}`);
    }
    visiting.add(name);
    for (const dependency of plugIn.dependsOn) {
      visit(dependency, name);
    }
    visited.add(name);
    ordered.push(plugIn);
  }

  for (const plugIn of plugIns) {
    visit(plugIn.name, 'the kernel');
  }
  return ordered;
}
