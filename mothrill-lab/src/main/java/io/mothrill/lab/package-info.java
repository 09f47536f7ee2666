/** x. */
package io.mothrill.lab;
